/**
Returns the value of a record under a name that operators choose, which may be that of a property of all objects.
*/
export const ownValue = <Value>(
	record: Readonly<Record<string, Value>>,
	name: string,
): Value | undefined =>
	Object.hasOwn(record, name) ? record[name] : undefined;

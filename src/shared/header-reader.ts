/**
Headers by lower-case name. A header that was sent more than once has several values.
*/
export type HeaderValues = Readonly<
	Record<string, string | readonly string[] | undefined>
>;

/**
Creates a function that returns the first value of a header.
*/
export const createHeaderReader =
	(headers: HeaderValues) =>
	(name: string): string | undefined => {
		const value = headers[name];
		return typeof value === 'object' ? value[0] : value;
	};

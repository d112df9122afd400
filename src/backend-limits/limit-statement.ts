/**
Limit that a backend server stated in one response.
*/
export type LimitStatement = {
	/**
	Requests per second that the server accepts from all nodes together; undefined if it has no limit.
	*/
	readonly perSecond: number | undefined;
	/**
	The server created the response between these times: when the request was sent, and when its response arrived. By this node's
	clock, in milliseconds.
	*/
	readonly earliest: number;
	readonly latest: number;
};

/**
Statements of a server, none of which is known to be older than another.
*/
export type LimitStatements = readonly LimitStatement[];

// More statements accumulate only if a server states a different limit in each response; the lowest limits are retained.
const maximumStatements = 8;

/**
Adds a statement. Responses on different connections may arrive out of order, so a statement replaces only those that arrived
before its own request was sent.
*/
export const addStatement = (
	known: LimitStatements,
	added: LimitStatement,
): LimitStatements => {
	if (known.some(({earliest}) => earliest >= added.latest)) {
		return known;
	}

	const same = known.find(({perSecond}) => perSecond === added.perSecond);
	const latest: LimitStatement = {
		perSecond: added.perSecond,
		earliest: Math.max(added.earliest, same?.earliest ?? -Infinity),
		latest: Math.max(added.latest, same?.latest ?? -Infinity),
	};
	const others = known.filter(
		(each) => each !== same && each.latest > added.earliest,
	);
	return [...others, latest]
		.toSorted((left, right) => rateOf(left) - rateOf(right))
		.slice(0, maximumStatements);
};

/**
Returns the statement in effect: the lowest limit of those that may be the newest. Until the next responses resolve the order, the
server receives too few requests rather than too many.
*/
export const lowestStatement = (
	statements: LimitStatements,
): LimitStatement | undefined => statements[0];

const rateOf = ({perSecond}: LimitStatement): number => perSecond ?? Infinity;

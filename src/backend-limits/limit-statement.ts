/**
What one answer of a backend server says of its limit.
*/
export type LimitStatement = {
	/**
	Requests a second that it takes from all nodes together; undefined where it has no limit.
	*/
	readonly perSecond: number | undefined;
	/**
	The server made the answer between these moments: when the request was sent, and when its answer came. By this
	node's clock, in milliseconds.
	*/
	readonly earliest: number;
	readonly latest: number;
};

/**
The statements of a server of which none is known to be older than another.
*/
export type LimitStatements = readonly LimitStatement[];

// More of them differ only where a server names another limit in each answer; the lowest ones count.
const maximumStatements = 8;

/**
What holds after one more answer. Answers on different connections overtake each other, so a later one may be older: an
answer replaces those that had come before its request was sent, and no others.
*/
export const addStatement = (
	known: LimitStatements,
	given: LimitStatement,
): LimitStatements => {
	if (known.some(({earliest}) => earliest >= given.latest)) {
		return known;
	}

	const same = known.find(({perSecond}) => perSecond === given.perSecond);
	const latest: LimitStatement = {
		perSecond: given.perSecond,
		earliest: Math.max(given.earliest, same?.earliest ?? -Infinity),
		latest: Math.max(given.latest, same?.latest ?? -Infinity),
	};
	const others = known.filter(
		(each) => each !== same && each.latest > given.earliest,
	);
	return [...others, latest]
		.toSorted((left, right) => rateOf(left) - rateOf(right))
		.slice(0, maximumStatements);
};

/**
The statement that holds: the lowest of those that may be the newest. The server's next answers correct it, and until
then the server gets too little rather than too much.
*/
export const lowestStatement = (
	statements: LimitStatements,
): LimitStatement | undefined => statements[0];

const rateOf = ({perSecond}: LimitStatement): number => perSecond ?? Infinity;

import {mean} from 'simple-statistics';
import type {RequestLine, StreamLine} from './cause.ts';

/**
Classes of the streams of one route by size.
*/
export const sizeClasses = [
	'all',
	'largest tenth',
	'fifth below it',
	'the others',
] as const;

/**
One class of sizes.
*/
export type SizeClass = (typeof sizeClasses)[number];

/**
Outcome of the streams of one route, zone and size class.
*/
export type SizeRow = {
	readonly route: string;
	/**
	Name of the node without its number, or `all`.
	*/
	readonly zone: string;
	readonly sizeClass: SizeClass;
	readonly streams: number;
	readonly served: number;
	/**
	Streams among `served` whose first event came after the target time.
	*/
	readonly late: number;
	readonly refused: number;
	readonly cutAtDeadline: number;
	readonly cutByFailure: number;
	readonly callerLeft: number;
	readonly meanWaitMs: number;
	readonly meanChunkIntervalMs: number;
	readonly meanLoadAtStart: number;
};

type StreamRequest = RequestLine & {readonly stream: StreamLine};

const largestFraction = 0.1;
const largeFraction = 0.3;

/**
Sums up streams by route, zone and size class. The classes of a zone are those of the whole route.
*/
export const accountBySize = (
	lines: readonly RequestLine[],
): readonly SizeRow[] => {
	const streams = lines.filter(
		(line): line is StreamRequest => line.stream !== undefined,
	);
	return [...Map.groupBy(streams, ({route}) => route)].flatMap(
		([route, ofRoute]) => accountOfRoute(route, ofRoute),
	);
};

const accountOfRoute = (
	route: string,
	streams: readonly StreamRequest[],
): readonly SizeRow[] => {
	const sizes = streams
		.map(({stream}) => stream.size)
		.toSorted((left, right) => right - left);
	const smallestOf = (fraction: number) =>
		sizes[Math.max(0, Math.ceil(sizes.length * fraction) - 1)] ?? 0;
	const largest = smallestOf(largestFraction);
	const large = smallestOf(largeFraction);
	const classOf = ({stream: {size}}: StreamRequest): SizeClass => {
		if (size >= largest) {
			return 'largest tenth';
		}

		return size >= large ? 'fifth below it' : 'the others';
	};

	const zones = [
		['all', streams] as const,
		...Map.groupBy(streams, ({node}) => node.replace(/-\d+$/v, '')),
	];
	return zones.flatMap(([zone, ofZone]) =>
		sizeClasses
			.map((sizeClass) => ({
				sizeClass,
				ofClass: ofZone.filter(
					(each) => sizeClass === 'all' || classOf(each) === sizeClass,
				),
			}))
			.filter(({ofClass}) => ofClass.length > 0)
			.map(({sizeClass, ofClass}) => ({
				route,
				zone,
				sizeClass,
				...countsOf(ofClass),
			})),
	);
};

const countsOf = (
	streams: readonly StreamRequest[],
): Omit<SizeRow, 'route' | 'zone' | 'sizeClass'> => {
	const ended = (end: string) =>
		streams.filter(({stream}) => stream.end === end).length;
	return {
		streams: streams.length,
		served: ended('complete'),
		late: streams.filter(
			({stream, firstByteMs, targetMs}) =>
				stream.end === 'complete' && (firstByteMs ?? 0) > targetMs,
		).length,
		refused: ended('refused'),
		cutAtDeadline: ended('deadline'),
		cutByFailure: ended('upstream-failure'),
		callerLeft: ended('caller-left'),
		meanWaitMs: mean(streams.map(({waitedMs}) => waitedMs)),
		meanChunkIntervalMs: meanOfKnown(
			streams.map(({stream}) => stream.chunkIntervalMs),
		),
		meanLoadAtStart: meanOfKnown(streams.map(({stream}) => stream.loadAtStart)),
	};
};

const meanOfKnown = (values: ReadonlyArray<number | undefined>): number => {
	const known = values.filter((value) => value !== undefined);
	return known.length === 0 ? 0 : mean(known);
};

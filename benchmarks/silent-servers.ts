// Ways to treat the requests at servers that fall silent and go on, or hang for good.
import {playSilence, silenceWays} from './model/silent-servers-model.ts';
import {printTable, type Row} from './table.ts';

const sizes = [
	{nodes: 3, servers: 2},
	{nodes: 9, servers: 8},
	{nodes: 74, servers: 50},
] as const;

const silencesMs = [300, 1200, 1900, 3000, 4000, Infinity];

const shares = [
	{share: 'one', of: () => 1},
	{share: 'six in ten', of: (servers: number) => Math.ceil(servers * 0.6)},
	{share: 'all', of: (servers: number) => servers},
] as const;

/**
Plays each way for few and many nodes, short and long silences, and prints what callers saw.
*/
export const measureSilentServers = (): readonly Row[] => {
	const rows = sizes.flatMap(({nodes, servers}) =>
		shares.flatMap(({share, of}) =>
			silencesMs.flatMap((silenceMs) =>
				silenceWays.map((way) => {
					const silent = of(servers);
					const plan = {way, seed: 1, nodes, servers, silent, silenceMs};
					const result = playSilence(plan);
					return {
						nodes,
						servers,
						silent: share,
						'silence s': silenceMs === Infinity ? 'for good' : silenceMs / 1000,
						way,
						requests: result.requests,
						lost: result.lost,
						'given up': result.givenUp,
						'cut in vain of 100': (result.cutInVain * 100) / result.requests,
						'second sends': result.secondSends,
						'first event ms': Math.round(result.firstEventMs),
					};
				}),
			),
		),
	);
	printTable(rows);
	return rows;
};

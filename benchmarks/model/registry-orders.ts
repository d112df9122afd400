/**
Ways to order statements of the registry, for comparison.
*/
import {
	createRegistryMirror,
	type RegistryItem,
	type RegistryMirror,
} from '../../src/registry/index.ts';

/**
A revision is a floor for all time.
*/
export const createRevisionOrder = (): RegistryMirror => {
	const mirror = createRegistryMirror();
	return {
		...mirror,
		apply: (answer, now, origin) =>
			answer.kind === 'snapshot' && answer.revision < mirror.revision()
				? []
				: mirror.apply({...answer, era: 0}, now, origin),
		position: () => ({era: 0, revision: mirror.revision()}),
		stamp: () => ({...mirror.stamp(), era: 0}),
		isContradictedBy: () => false,
	};
};

/**
A revision is only a cursor. What the registry itself answers counts; what other nodes tell is ordered by what its writers number: versions
of the routes, starts and sequences of servers. Removals and evacuations have no number and count as they come.
*/
export const createWriterOrder = (): RegistryMirror => {
	const mirror = createRegistryMirror();
	const numbers = new Map<string, number>();
	let returns = 0;

	const numberOf = ({value}: RegistryItem): number => {
		switch (value?.kind) {
			case 'routes': {
				return value.document.version;
			}

			case 'server': {
				return value.server.sequence ?? 0;
			}

			default: {
				return Infinity;
			}
		}
	};

	const isNews = (item: RegistryItem) =>
		numberOf(item) > (numbers.get(item.key) ?? 0);

	const note = (items: readonly RegistryItem[]) => {
		for (const item of items) {
			const number = numberOf(item);
			if (number !== Infinity) {
				numbers.set(item.key, number);
			}
		}
	};

	return {
		...mirror,
		apply(answer, now, origin) {
			const isBehind = answer.revision < mirror.revision();
			if (origin === 'registry') {
				returns += isBehind && answer.kind === 'snapshot' ? 1 : 0;
				note(answer.items);
				return mirror.apply({...answer, era: returns}, now, origin);
			}

			const items = answer.items.filter((item) => isNews(item));
			note(items);
			const revision = mirror.revision() + 1;
			return isBehind
				? mirror.apply(
						{
							kind: 'changes',
							era: returns,
							revision: mirror.revision(),
							items: items.map((item) => ({...item, revision})),
						},
						now,
						origin,
					)
				: mirror.apply({...answer, era: returns}, now, origin);
		},
		answerFor: (after, now) => ({
			...mirror.answerFor({...after, era: undefined}, now),
			era: undefined,
		}),
		position: () => ({era: 0, revision: mirror.revision()}),
		stamp: () => ({...mirror.stamp(), era: 0}),
		isContradictedBy: () => false,
	};
};

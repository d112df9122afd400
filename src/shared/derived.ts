/**
Creates a memoized view that is recomputed only when its source is a different object. The source must be replaced
rather than mutated.

@param source Returns the source of the view; called at each use.
@param derive Computes the view from the source.
*/
export const createDerived = <Source, View>(
	source: () => Source,
	derive: (source: Source) => View,
): (() => View) => {
	let cached: {readonly source: Source; readonly view: View} | undefined;
	return () => {
		const current = source();
		if (cached?.source !== current) {
			cached = {source: current, view: derive(current)};
		}

		return cached.view;
	};
};

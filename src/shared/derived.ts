/**
Builds a view that is derived anew only when its source is another object; a source that changes must be replaced,
not changed.

@param source What the view is derived from, asked at each use.
@param derive Works the view out.
*/
export const createDerived = <Source, View>(
	source: () => Source,
	derive: (source: Source) => View,
): (() => View) => {
	let known: {readonly source: Source; readonly view: View} | undefined;
	return () => {
		const current = source();
		if (known?.source !== current) {
			known = {source: current, view: derive(current)};
		}

		return known.view;
	};
};

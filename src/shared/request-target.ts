// Characters that a request target cannot hold.
const unsafeCharacters = /[^\u{21}-\u{7E}]/gv;

/**
Percent-encodes the characters of a path that a request target cannot hold. Other characters stay, also percent signs.
*/
export const encodePath = (path: string): string =>
	path
		.toWellFormed()
		.replaceAll(unsafeCharacters, (character) => encodeURIComponent(character));

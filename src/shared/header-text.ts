import {Buffer} from 'node:buffer';

// Characters that a header value cannot hold, the percent sign, and the comma, which separates the texts of a list.
const encodedCharacters = /[%,[^\u{21}-\u{7E}]]/gv;

/**
Encodes any text for a header between two nodes. Texts of printable ASCII characters other than `%`, `,` and spaces stay as they are.
*/
export const encodeHeaderText = (text: string): string =>
	text
		.toWellFormed()
		.replaceAll(encodedCharacters, (character) =>
			encodeURIComponent(character),
		);

/**
Decodes a text that `encodeHeaderText` encoded. Returns any other text as it is.
*/
export const decodeHeaderText = (encoded: string): string => {
	try {
		return decodeURIComponent(encoded);
	} catch {
		return encoded;
	}
};

/**
Returns the value of a header that states a text to callers or backend servers: the bytes of the text in UTF-8, as HTTP clients and
servers of Node.js represent them.
*/
export const toHeaderValue = (text: string): string =>
	Buffer.from(text, 'utf8').toString('latin1');

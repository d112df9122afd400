/**
One fault of a document: where, what is wrong, and how to mend it.
*/
export type ConfigurationFault = {
	/**
	Path into the document, such as `policies.0.strategy`.
	*/
	readonly path: string;
	readonly fault: string;
	readonly remedy: string;
};

/**
A fault in a configuration document: its location, its description and how to correct it.
*/
export type ConfigurationFault = {
	/**
	Path into the document, such as `policies.0.strategy`.
	*/
	readonly path: string;
	readonly fault: string;
	readonly remedy: string;
};

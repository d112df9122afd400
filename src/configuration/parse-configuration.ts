import {Buffer} from 'node:buffer';
import {Result} from 'true-myth';
import {parse as parseYaml} from 'yaml';
import {sha256} from '../shared/index.ts';
import {
	configurationSchema,
	maximumDocumentBytes,
} from './configuration-schema.ts';
import type {ConfigurationFault} from './configuration-fault.ts';
import {crossCheck} from './cross-check.ts';
import type {Configuration} from './configuration.ts';

/**
A document that has passed all checks.
*/
export type ParsedConfiguration = {
	readonly configuration: Configuration;
	/**
	The text as published. Peers forward it unchanged.
	*/
	readonly text: string;
	/**
	SHA-256 digest of the text. It decides between two documents with the same version.
	*/
	readonly digest: string;
};

/**
Parses and validates a document. Schema faults are reported together, and so are faults across sections.
*/
export const parseConfiguration = (
	text: string,
): Result<ParsedConfiguration, readonly ConfigurationFault[]> => {
	const bytes = Buffer.byteLength(text);
	if (bytes > maximumDocumentBytes) {
		return Result.err([tooLargeFault(bytes)]);
	}

	const document = parseDocument(text);
	if (document.isErr) {
		return Result.err([document.error]);
	}

	const checked = configurationSchema.safeParse(document.value);
	if (!checked.success) {
		return Result.err(checked.error.issues.map((issue) => toFault(issue)));
	}

	const faults = crossCheck(checked.data);
	return faults.length > 0
		? Result.err(faults)
		: Result.ok({configuration: checked.data, text, digest: sha256(text)});
};

const tooLargeFault = (bytes: number): ConfigurationFault => ({
	path: '(document)',
	fault: `is ${bytes} bytes long`,
	remedy: `shorten it to at most ${maximumDocumentBytes} bytes`,
});

const parseDocument = (text: string): Result<unknown, ConfigurationFault> => {
	try {
		// JSON.parse is far faster than the YAML parser on large documents.
		return Result.ok(
			text.trimStart().startsWith('{') ? JSON.parse(text) : parseYaml(text),
		);
	} catch (error) {
		return Result.err({
			path: '(document)',
			fault: `cannot be parsed: ${(error as Error).message}`,
			remedy: 'write valid YAML or JSON',
		});
	}
};

const toFault = (issue: {
	readonly path: readonly PropertyKey[];
	readonly message: string;
	readonly code?: string;
}): ConfigurationFault => ({
	path: issue.path.length > 0 ? issue.path.map(String).join('.') : '(document)',
	fault: issue.message,
	remedy: remedyFor(issue.code),
});

const remedyFor = (code: string | undefined): string => {
	switch (code) {
		case 'unrecognized_keys': {
			return 'remove the key or correct its spelling';
		}

		case 'invalid_type': {
			return 'give a value of the expected type; see docs/CONFIGURATION.md';
		}

		case 'invalid_union': {
			return 'use one of the listed kinds; see docs/CONFIGURATION.md';
		}

		default: {
			return 'give a value within the documented bounds; see docs/CONFIGURATION.md';
		}
	}
};

import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {parseConfiguration} from '../configuration/index.ts';
import {exitCodes} from './exit-codes.ts';

/**
`quillford check`: validates a configuration document with the checks of a node.
*/
export class CheckCommand extends Command {
	static override paths = [['check']];

	static override usage = Command.Usage({
		description: 'Check a configuration document',
		details:
			'Prints the path, fault and remedy of each error and exits with 1 if there are any.',
		examples: [['Check a document', 'quillford check configuration.yaml']],
	});

	file = Option.String();

	async execute(): Promise<number> {
		let text: string;
		try {
			text = await readFile(this.file, 'utf8');
		} catch (error) {
			this.context.stderr.write(
				`${this.file}: cannot be read: ${(error as Error).message}\n`,
			);
			return exitCodes.usage;
		}

		const parsed = parseConfiguration(text);
		if (parsed.isErr) {
			for (const {path, fault, remedy} of parsed.error) {
				this.context.stderr.write(
					`${this.file}: ${path}: ${fault}; ${remedy}\n`,
				);
			}

			return exitCodes.failure;
		}

		const {version, backendServers, policies, clients} =
			parsed.value.configuration;
		this.context.stdout.write(
			`${this.file}: version ${version} is valid (${backendServers.length} backend servers, ${policies.length} policies, ${clients.length} clients)\n`,
		);
		return exitCodes.ok;
	}
}

import process from 'node:process';
import {Command, Option} from 'clipanion';
import {isAddress} from '../shared/index.ts';
import type {AdministrationTarget} from './administration-call.ts';

/**
Base class of the commands that call a running node.
*/
export abstract class AdministrationCommand extends Command {
	address = Option.String('--administration-address', {
		description:
			'Administration address of a node (or QUILLFORD_ADMINISTRATION_ADDRESS)',
	});

	key = Option.String('--administration-key', {
		description: 'Administration key (or QUILLFORD_ADMINISTRATION_KEY)',
	});

	json = Option.Boolean('--json', false, {description: 'Print JSON'});

	protected target(): AdministrationTarget | undefined {
		const address =
			this.address ?? process.env.QUILLFORD_ADMINISTRATION_ADDRESS;
		const key = this.key ?? process.env.QUILLFORD_ADMINISTRATION_KEY;
		if (address === undefined || key === undefined || !isAddress(address)) {
			this.context.stderr.write(
				'Set --administration-address IP:PORT and --administration-key KEY, or their environment variables\n',
			);
			return undefined;
		}

		return {address, key};
	}

	protected print(text: string): void {
		this.context.stdout.write(`${text}\n`);
	}

	protected fail(text: string): void {
		this.context.stderr.write(`${text}\n`);
	}
}

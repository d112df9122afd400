import {Command} from 'clipanion';
import {callAdministration} from './administration-call.ts';
import {AdministrationCommand} from './administration-command.ts';
import {exitCodes} from './exit-codes.ts';

/**
`quillford drain`: starts the graceful shutdown of a node.
*/
export class DrainCommand extends AdministrationCommand {
	static override paths = [['drain']];

	static override usage = Command.Usage({
		description: 'Shut down a node gracefully',
		details:
			'The node rejects new requests and refers their callers to other entry VMs, finishes the requests in flight, and exits.',
		examples: [
			[
				'Stop a node',
				'quillford drain --administration-address 10.0.0.1:8002 --administration-key KEY',
			],
		],
	});

	async execute(): Promise<number> {
		const target = this.target();
		if (!target) {
			return exitCodes.usage;
		}

		const answer = await callAdministration<{readonly inFlight: number}>(
			target,
			'/drain',
			'POST',
		);
		if (answer.isErr) {
			this.fail(answer.error);
			return exitCodes.failure;
		}

		this.print(
			`The node is draining; ${answer.value.inFlight} requests are in flight`,
		);
		return exitCodes.ok;
	}
}

import {readFile} from 'node:fs/promises';
import {Command, Option} from 'clipanion';
import {explainRequest, type Explanation} from '../administration/index.ts';
import {parseConfiguration} from '../configuration/index.ts';
import {callAdministration} from './administration-call.ts';
import {AdministrationCommand} from './administration-command.ts';
import {exitCodes} from './exit-codes.ts';

/**
`quillford explain`: shows which policy applies to a request and which regions and servers remain eligible.
*/
export class ExplainCommand extends AdministrationCommand {
	static override paths = [['explain']];

	static override usage = Command.Usage({
		description: 'Explain how a request would be routed',
		details:
			'Evaluates a configuration file, or queries a running node with its live state if an administration address is given.',
		examples: [
			[
				'From a file',
				'quillford explain --file configuration.yaml --model quill-large --labels weight=heavy',
			],
			[
				'From a node',
				'quillford explain --administration-address 10.0.0.1:8002 --administration-key KEY --service docket-desk',
			],
		],
	});

	file = Option.String('--file', {
		description: 'Configuration document to evaluate instead of a node',
	});

	labels = Option.String('--labels', {
		description: 'Labels of the request, key=value separated by commas',
	});

	client = Option.String('--client', {
		description: 'Client account; defaults to the first one',
	});

	session = Option.String('--session', {description: 'Session, for slices'});
	service = Option.String('--service', {description: 'Service'});
	model = Option.String('--model', {description: 'Model'});
	residency = Option.String('--residency', {
		description: 'Regions that the request allows',
	});

	private query(): Readonly<Record<string, string>> {
		const {labels, client, session, service, model, residency} = this;
		const given = Object.entries({
			labels,
			client,
			session,
			service,
			model,
			residency,
		});
		return Object.fromEntries(
			given.filter(
				(entry): entry is [string, string] => entry[1] !== undefined,
			),
		);
	}

	private async explainFromNode(): Promise<Explanation | number> {
		const target = this.target();
		if (!target) {
			return exitCodes.usage;
		}

		const answer = await callAdministration<Explanation>(
			target,
			`/explain?${new URLSearchParams(this.query()).toString()}`,
		);
		return answer.unwrapOrElse((fault): Explanation => ({
			kind: 'fault',
			fault,
		}));
	}

	private async explainFromFile(file: string): Promise<Explanation | number> {
		let text: string;
		try {
			text = await readFile(file, 'utf8');
		} catch (error) {
			this.fail(`${file}: cannot be read: ${(error as Error).message}`);
			return exitCodes.usage;
		}

		const parsed = parseConfiguration(text);
		if (parsed.isErr) {
			this.fail(`${file} is not valid; run "quillford check ${file}"`);
			return exitCodes.failure;
		}

		return explainRequest(parsed.value.configuration, this.query());
	}

	async execute(): Promise<number> {
		const explanation =
			this.file === undefined
				? await this.explainFromNode()
				: await this.explainFromFile(this.file);
		if (typeof explanation === 'number') {
			return explanation;
		}

		if (explanation.kind === 'fault') {
			this.fail(explanation.fault);
			return exitCodes.failure;
		}

		this.print(
			this.json
				? JSON.stringify(explanation, undefined, 2)
				: format(explanation),
		);
		return exitCodes.ok;
	}
}

const format = (
	explanation: Extract<Explanation, {kind: 'explained'}>,
): string =>
	[
		`policy: ${explanation.policy ?? '(none applies)'}`,
		...explanation.policies.map(({name, verdict}) => `  ${name}: ${verdict}`),
		'regions:',
		...explanation.regions.map(({name, verdict}) => `  ${name}: ${verdict}`),
		'backend servers:',
		...explanation.backendServers.map(
			({name, verdict}) => `  ${name}: ${verdict}`,
		),
		...(explanation.live ? ['live state in the zone of the node:'] : []),
		...(explanation.live ?? []).map(
			({id, load, slots, isLeaving, isEjected}) =>
				`  ${id}: ${Math.round(load)} of ${slots} slots${isLeaving ? ', leaving' : ''}${isEjected ? ', ejected after failures' : ''}`,
		),
	].join('\n');

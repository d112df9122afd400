import process from 'node:process';
import {Command, Option} from 'clipanion';
import type {Result} from 'true-myth';
import {
	formatSettingFault,
	readSettings,
	type Setting,
	type SettingFault,
	type SettingValue,
} from '../settings/index.ts';
import {exitCodes} from './exit-codes.ts';

type Settings = Readonly<Record<string, Setting<unknown>>>;

type Values<Group extends Settings> = {
	readonly [Name in keyof Group]: SettingValue<Group[Name]>;
};

/**
Base class of commands that read their settings from flags and environment variables.
*/
export abstract class SettingsCommand<Group extends Settings> extends Command {
	protected constructor(private readonly settings: Group) {
		super();
		for (const [name, {flag, description}] of Object.entries(settings)) {
			Object.assign(this, {[name]: Option.String(flag, {description})});
		}
	}

	private readValues(): Result<Values<Group>, readonly SettingFault[]> {
		const flags = this as unknown as Readonly<
			Record<string, string | undefined>
		>;
		return readSettings(this.settings, flags, process.env);
	}

	async execute(): Promise<number> {
		const read = this.readValues();
		if (read.isOk) {
			return this.run(read.value);
		}

		const lines = read.error.map((fault) => `  ${formatSettingFault(fault)}`);
		this.context.stderr.write(`Invalid settings:\n${lines.join('\n')}\n`);
		return exitCodes.usage;
	}

	/**
	Runs the command with valid settings and returns its exit code.
	*/
	protected abstract run(values: Values<Group>): Promise<number>;
}

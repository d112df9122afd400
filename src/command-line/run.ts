import process from 'node:process';
import {Builtins, Cli} from 'clipanion';
import {CheckCommand} from './check-command.ts';
import {DrainCommand} from './drain-command.ts';
import {exitCodes} from './exit-codes.ts';
import {ExplainCommand} from './explain-command.ts';
import {GatewayCommand} from './gateway-command.ts';
import {ReportCommand} from './report-command.ts';
import {ServeCommand} from './serve-command.ts';
import {version} from './version.ts';

/**
Runs the command that the arguments select and returns its exit code.
*/
export const runCommandLine = async (
	args: readonly string[],
): Promise<number> => {
	const cli = new Cli({
		binaryName: 'quillford',
		binaryLabel: 'Quillford',
		binaryVersion: version,
	});
	for (const command of [
		ServeCommand,
		GatewayCommand,
		CheckCommand,
		ExplainCommand,
		ReportCommand,
		DrainCommand,
		Builtins.HelpCommand,
		Builtins.VersionCommand,
	]) {
		cli.register(command);
	}

	try {
		cli.process([...args]);
	} catch (error) {
		process.stderr.write(cli.error(error));
		return exitCodes.usage;
	}

	return cli.run([...args]);
};

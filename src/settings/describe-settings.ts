import type {Setting} from './setting.ts';

/**
Formats settings as a list for the help text of a command.
*/
export const describeSettings = (
	settings: Readonly<Record<string, Setting<unknown>>>,
): string =>
	Object.values(settings)
		.map(({flag, variable, description, allowed, fallback}) => {
			const defaultText =
				fallback === undefined ? 'required' : `default "${fallback}"`;
			return `- \`${flag}\`, \`${variable}\`: ${description} (${allowed}; ${defaultText})`;
		})
		.join('\n\n');

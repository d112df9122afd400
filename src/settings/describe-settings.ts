import type {Setting} from './setting.ts';

/**
A list of settings for the help of a command.
*/
export const describeSettings = (
	settings: Readonly<Record<string, Setting<unknown>>>,
): string =>
	Object.values(settings)
		.map(({flag, variable, description, allowed, fallback}) => {
			const preset =
				fallback === undefined ? 'required' : `default "${fallback}"`;
			return `- \`${flag}\`, \`${variable}\`: ${description} (${allowed}; ${preset})`;
		})
		.join('\n\n');

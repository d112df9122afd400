import process from 'node:process';

/**
One measured row; the keys name the columns.
*/
export type Row = Readonly<Record<string, string | number>>;

const format = (value: string | number | undefined): string => {
	if (typeof value === 'number') {
		return Number.isSafeInteger(value) ? String(value) : value.toPrecision(4);
	}

	return value ?? '';
};

/**
Prints rows as a table.
*/
export const printTable = (rows: readonly Row[]): void => {
	const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
	const lines = [
		columns,
		...rows.map((row) => columns.map((column) => format(row[column]))),
	];
	const widths = columns.map((_, index) =>
		Math.max(...lines.map((line) => line[index]!.length)),
	);
	for (const line of lines) {
		process.stdout.write(
			`${line
				.map((cell, index) => cell.padEnd(widths[index]!))
				.join('  ')
				.trimEnd()}\n`,
		);
	}

	process.stdout.write('\n');
};

import type {
	AccountTotal,
	AccountUsage,
	LimitTotals,
	ZoneUsage,
} from '../limits/index.ts';
import {checkCount, checkText} from './tuple-checks.ts';

/**
What nodes tell each other of the usage of client accounts.
*/
export type UsageMessage =
	| {
			readonly kind: 'node';
			/**
			One life of the node that tells its own usage.
			*/
			readonly from: string;
			readonly usages: readonly AccountUsage[];
	  }
	| {
			readonly kind: 'zone';
			/**
			The availability zone whose sum it is.
			*/
			readonly from: string;
			readonly usage: ZoneUsage;
	  }
	| {
			readonly kind: 'totals';
			/**
			Id of the node that adds up.
			*/
			readonly from: string;
			readonly totals: LimitTotals;
	  };

/**
Kinds of these messages, in the order of their numbers.
*/
export const usageMessageKinds = [
	'node',
	'zone',
	'totals',
] as const satisfies ReadonlyArray<UsageMessage['kind']>;

type Row = readonly unknown[];

/**
The rows of a message, one an account; each can be read alone.
*/
export const usageRows = (message: UsageMessage): readonly Row[] => {
	switch (message.kind) {
		case 'node': {
			return message.usages.map((usage) => rowOf(usage));
		}

		case 'zone': {
			return message.usage.usages.map((usage) => rowOf(usage));
		}

		case 'totals': {
			return message.totals.accounts.map(
				({account, total, admittedByUnreachable}) => [
					account,
					total.requested,
					total.admitted,
					admittedByUnreachable,
				],
			);
		}
	}
};

/**
What part of the nodes, or of the limits, a message is of, from 0 to 1.
*/
export const usageFraction = (message: UsageMessage): number => {
	switch (message.kind) {
		case 'node': {
			return 1;
		}

		case 'zone': {
			return message.usage.nodeFraction;
		}

		case 'totals': {
			return message.totals.limitFraction;
		}
	}
};

/**
Reads a message; throws where it is of another form.
*/
export const readUsage = (
	kind: UsageMessage['kind'],
	from: string,
	rows: readonly Row[],
	part: unknown,
): UsageMessage => {
	switch (kind) {
		case 'node': {
			return {kind, from, usages: rows.map((row) => decodeUsage(row))};
		}

		case 'zone': {
			const usages = rows.map((row) => decodeUsage(row));
			return {kind, from, usage: {nodeFraction: checkPart(part), usages}};
		}

		case 'totals': {
			const accounts = rows.map((row) => decodeTotal(row));
			return {kind, from, totals: {limitFraction: checkPart(part), accounts}};
		}
	}
};

const rowOf = ({account, requested, admitted}: AccountUsage): Row => [
	account,
	requested,
	admitted,
];

const decodeUsage = (row: Row): AccountUsage => ({
	account: checkText(row[0]),
	requested: checkCount(row[1]),
	admitted: checkCount(row[2]),
});

const decodeTotal = (row: Row): AccountTotal => ({
	account: checkText(row[0]),
	total: {requested: checkCount(row[1]), admitted: checkCount(row[2])},
	admittedByUnreachable: checkCount(row[3]),
});

const checkPart = (value: unknown): number => {
	const part = checkCount(value);
	if (part > 1) {
		throw new TypeError('more than the whole');
	}

	return part;
};

import type {
	AccountTotal,
	AccountUsage,
	LimitTotals,
	ZoneUsage,
} from '../limits/index.ts';
import {checkNonNegative, checkString} from './tuple-checks.ts';

/**
Messages about the usage of client accounts.
*/
export type UsageMessage =
	| {
			readonly kind: 'node';
			/**
			Identifies one incarnation of the node that reports its own usage.
			*/
			readonly from: string;
			readonly usages: readonly AccountUsage[];
	  }
	| {
			readonly kind: 'zone';
			/**
			The availability zone whose total usage is reported.
			*/
			readonly from: string;
			readonly usage: ZoneUsage;
	  }
	| {
			readonly kind: 'totals';
			/**
			Id of the node that computed the totals.
			*/
			readonly from: string;
			readonly totals: LimitTotals;
	  };

/**
Kinds of these messages, in the order of their indices on the wire.
*/
export const usageMessageKinds = [
	'node',
	'zone',
	'totals',
] as const satisfies ReadonlyArray<UsageMessage['kind']>;

type Row = readonly unknown[];

/**
Encodes a message as one row per account; each row can be decoded on its own.
*/
export const encodeUsageRows = (message: UsageMessage): readonly Row[] => {
	switch (message.kind) {
		case 'node': {
			return message.usages.map((usage) => encodeUsage(usage));
		}

		case 'zone': {
			return message.usage.usages.map((usage) => encodeUsage(usage));
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
Returns the fraction of the nodes, or of the limits, that a message covers, from 0 to 1.
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
Decodes a message.

@throws {TypeError} If a row or the fraction is malformed.
*/
export const decodeUsageMessage = (
	kind: UsageMessage['kind'],
	from: string,
	rows: readonly Row[],
	fraction: unknown,
): UsageMessage => {
	switch (kind) {
		case 'node': {
			return {kind, from, usages: rows.map((row) => decodeUsage(row))};
		}

		case 'zone': {
			const usages = rows.map((row) => decodeUsage(row));
			return {
				kind,
				from,
				usage: {nodeFraction: checkFraction(fraction), usages},
			};
		}

		case 'totals': {
			const accounts = rows.map((row) => decodeTotal(row));
			return {
				kind,
				from,
				totals: {limitFraction: checkFraction(fraction), accounts},
			};
		}
	}
};

const encodeUsage = ({account, requested, admitted}: AccountUsage): Row => [
	account,
	requested,
	admitted,
];

const decodeUsage = (row: Row): AccountUsage => ({
	account: checkString(row[0]),
	requested: checkNonNegative(row[1]),
	admitted: checkNonNegative(row[2]),
});

const decodeTotal = (row: Row): AccountTotal => ({
	account: checkString(row[0]),
	total: {
		requested: checkNonNegative(row[1]),
		admitted: checkNonNegative(row[2]),
	},
	admittedByUnreachable: checkNonNegative(row[3]),
});

const checkFraction = (value: unknown): number => {
	const fraction = checkNonNegative(value);
	if (fraction > 1) {
		throw new TypeError('expected a fraction of at most 1');
	}

	return fraction;
};

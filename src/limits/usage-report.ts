import type {AccountUsage} from './usage-ledger.ts';
import {noUsage, type Usage} from './usage-window.ts';

/**
How often an account that has come to rest is told as such: reports travel in datagrams, some of which are lost.
*/
export const idleReports = 3;

/**
Builds what makes reports of usages: each account that has any, and for a while those that had some before.
*/
export const createUsageReporter = () => {
	const leftToTell = new Map<string, number>();

	return (usages: ReadonlyMap<string, Usage>): readonly AccountUsage[] => {
		for (const [account, {requested, admitted}] of usages) {
			if (requested > 0 || admitted > 0) {
				leftToTell.set(account, idleReports + 1);
			}
		}

		const report: AccountUsage[] = [];
		for (const [account, left] of leftToTell) {
			if (left === 0) {
				leftToTell.delete(account);
				continue;
			}

			leftToTell.set(account, left - 1);
			report.push({account, ...rounded(usages.get(account) ?? noUsage)});
		}

		return report;
	};
};

const rounded = ({requested, admitted}: Usage): Usage => ({
	requested: Math.round(requested),
	admitted: Math.round(admitted),
});

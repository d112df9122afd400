import type {AccountUsage} from './usage-ledger.ts';
import {noUsage, type Usage} from './usage-window.ts';

/**
Number of reports in which an account that has become idle is included with zero usage. Reports are sent in datagrams, which may be
lost.
*/
export const idleReports = 3;

/**
Creates a function that builds usage reports: they include each account with usage, and recently idle accounts for a limited number
of reports.
*/
export const createUsageReporter = () => {
	const remainingReports = new Map<string, number>();

	return (usages: ReadonlyMap<string, Usage>): readonly AccountUsage[] => {
		for (const [account, {requested, admitted}] of usages) {
			if (requested > 0 || admitted > 0) {
				remainingReports.set(account, idleReports + 1);
			}
		}

		const report: AccountUsage[] = [];
		for (const [account, remaining] of remainingReports) {
			if (remaining === 0) {
				remainingReports.delete(account);
				continue;
			}

			remainingReports.set(account, remaining - 1);
			report.push({account, ...rounded(usages.get(account) ?? noUsage)});
		}

		return report;
	};
};

const rounded = ({requested, admitted}: Usage): Usage => ({
	requested: Math.round(requested),
	admitted: Math.round(admitted),
});

/**
The latest report for each key, used up to a maximum age.
*/
export type RecentReports<Report> = {
	record(key: string, report: Report, now: number): void;
	/**
	Returns the report for a key, or undefined if there is none or it is too old.
	*/
	of(key: string, now: number): Report | undefined;
	/**
	Returns all reports that are not too old, and removes the others.
	*/
	all(now: number): readonly Report[];
};

/**
Creates an empty collection.

@param maximumAgeMs Maximum age of a report that is used, in milliseconds.
*/
export const createRecentReports = <Report>(
	maximumAgeMs: number,
): RecentReports<Report> => {
	const reports = new Map<
		string,
		{readonly report: Report; readonly at: number}
	>();
	const isRecent = (at: number, now: number) => now - at <= maximumAgeMs;

	return {
		record(key, report, now) {
			reports.set(key, {report, at: now});
		},
		of(key, now) {
			const known = reports.get(key);
			return known && isRecent(known.at, now) ? known.report : undefined;
		},
		all(now) {
			for (const [key, {at}] of reports) {
				if (!isRecent(at, now)) {
					reports.delete(key);
				}
			}

			return reports
				.values()
				.map(({report}) => report)
				.toArray();
		},
	};
};

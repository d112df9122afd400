import {StatsD} from 'hot-shots';
import {splitAddress, type Address} from '../shared/index.ts';
import type {RequestRecord} from './recorder.ts';

/**
Sends metrics to a StatsD server.
*/
export type Metrics = {
	request(record: RequestRecord): void;
	gauge(name: string, value: number): void;
	close(): Promise<void>;
};

/**
Creates a metrics client. Without an address, it sends nothing.
*/
export const createMetrics = (
	address: Address | undefined,
	node: string,
): Metrics => {
	const target = address === undefined ? undefined : splitAddress(address);
	const statsd = new StatsD({
		host: target?.host,
		port: target?.port,
		prefix: 'quillford.',
		globalTags: {node},
		mock: target === undefined,
		// Errors are ignored so that a lost metric does not affect a request.
		errorHandler: () => undefined,
	});
	return {
		request(record) {
			const tags = {
				policy: record.policy,
				client: record.client,
				result: record.result,
			};
			statsd.increment('requests', tags);
			statsd.timing('total', record.totalMs, tags);
			statsd.increment('tokens', record.tokens, tags);
			if (record.firstTokenMs !== undefined) {
				statsd.timing('first_token', record.firstTokenMs, tags);
			}

			if (
				record.servedRegion !== undefined &&
				record.servedRegion !== record.homeRegion
			) {
				statsd.increment('away', tags);
			}
		},
		gauge(name, value) {
			statsd.gauge(name, value);
		},
		close: async () =>
			new Promise((resolve) => {
				statsd.close(() => {
					resolve();
				});
			}),
	};
};

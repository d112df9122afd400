export * from './crash.ts';
export * from './crash-ledger.ts';
export * from './crash-records.ts';
export * from './crash-watch.ts';
export * from './quarantine-entry.ts';
export * from './quarantine-list.ts';
export * from './request-fingerprint.ts';
export * from './quarantine.ts';

export * from './client-limits.ts';
export * from './wait-queue.ts';
export * from './admission-fraction.ts';
export * from './known-total.ts';
export * from './shared-limits.ts';
export * from './usage-ledger.ts';
export * from './usage-report.ts';
export * from './usage-window.ts';

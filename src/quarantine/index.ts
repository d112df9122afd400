export * from './crash.ts';
export * from './crash-watch.ts';
export * from './request-fingerprint.ts';

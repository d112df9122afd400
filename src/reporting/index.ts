export * from './histogram.ts';
export * from './burn.ts';
export * from './recorder.ts';
export * from './metrics.ts';
export * from './compare-policies.ts';

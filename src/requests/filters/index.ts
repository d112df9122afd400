export * from './identify.ts';
export * from './parse.ts';
export * from './limit.ts';
export * from './policy.ts';
export * from './permit.ts';
export * from './recording.ts';

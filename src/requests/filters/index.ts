export * from './identify.ts';
export * from './read.ts';
export * from './limit.ts';
export * from './match.ts';
export * from './permit.ts';
export * from './account.ts';

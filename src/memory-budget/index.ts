export * from './hold-time.ts';
export * from './memory-budget.ts';
export * from './node-memory.ts';

export * from './retry-budget.ts';
export * from './decide-retry.ts';

export * from './retry-budget.ts';
export * from './decide-retry.ts';
export * from './window-retry-budget.ts';
export * from './retry-yield.ts';

export * from './exit-codes.ts';
export * from './run.ts';

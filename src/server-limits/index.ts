export * from './stated-limit.ts';
export * from './limit-statement.ts';
export * from './limit-log.ts';
export * from './server-limits.ts';

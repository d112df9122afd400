export * from './stated-limit.ts';
export * from './limit-statement.ts';
export * from './limit-share.ts';
export * from './token-bucket.ts';
export * from './sender-nodes.ts';
export * from './limit-entries.ts';
export * from './limit-log.ts';
export * from './backend-limits.ts';

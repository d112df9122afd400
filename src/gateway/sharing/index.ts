export * from './load-statement.ts';
export * from './node-joiner.ts';
export * from './node-knowledge.ts';
export * from './node-shares.ts';

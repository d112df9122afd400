export type * from './node-context.ts';
export * from './create-node.ts';

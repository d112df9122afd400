export type * from './gateway-node.ts';
export type * from './node-context.ts';
export * from './create-node.ts';

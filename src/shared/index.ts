export * from './assert-never.ts';
export * from './random.ts';
export * from './hash.ts';
export * from './address.ts';
export * from './keyed-loops.ts';
export * from './held-calls.ts';
export * from './drop-body.ts';
export * from './close-server.ts';

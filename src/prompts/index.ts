export type * from './cache-source.ts';
export * from './prompt-map.ts';
export * from './prompt-feed.ts';
export * from './cache-reader.ts';
export * from './feed-follower.ts';

export type * from './stream-origin.ts';

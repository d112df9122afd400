export * from './route.ts';
export * from './route-table.ts';
export * from './prompt-prefix.ts';

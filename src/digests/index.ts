export * from './digest-entry.ts';
export * from './digest-table.ts';

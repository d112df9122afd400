export * from './client-limits.ts';
export * from './waiting-line.ts';

export * from './explain.ts';
export * from './gather-reports.ts';
export * from './start-administration-server.ts';

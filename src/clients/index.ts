export * from './client-account.ts';
export * from './client-directory.ts';

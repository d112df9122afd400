export * from './platform-client.ts';

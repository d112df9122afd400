export * from './start-caller-server.ts';

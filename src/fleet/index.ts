export * from './fleet.ts';

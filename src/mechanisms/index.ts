export * from './mechanisms.ts';

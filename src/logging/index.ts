export * from './logger.ts';

export * from './gateway.ts';
export * from './wire-headers.ts';

export * from './body-framing.ts';
export * from './event-scanner.ts';
export * from './received-body.ts';

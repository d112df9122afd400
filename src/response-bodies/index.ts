export * from './body-end.ts';
export * from './body-framing.ts';
export * from './event-scanner.ts';
export * from './media-type.ts';
export * from './received-body.ts';

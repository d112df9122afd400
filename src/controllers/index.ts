export type * from './controller.ts';
export * from './controller-host.ts';

export * from './request-deferral.ts';
export * from './entry-members.ts';
export * from './entry-subset.ts';
export * from './gateway-listeners.ts';
export * from './region-failover-log.ts';
export * from './leaving-admission.ts';
export * from './node-overload.ts';
export * from './request-intake.ts';

export * from './closes-first.ts';
export * from './entry-members.ts';
export * from './gateway-listeners.ts';
export * from './guide-log.ts';
export * from './leaving-admission.ts';
export * from './request-intake.ts';

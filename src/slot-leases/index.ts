export * from './refusal-window.ts';
export * from './slot-ceiling.ts';
export * from './slot-issuer.ts';
export * from './slot-holder.ts';
export * from './slot-leases.ts';

export * from './member.ts';
export type * from './membership-event.ts';
export * from './membership-parameters.ts';
export * from './membership.ts';
export * from './entry-vms.ts';
export * from './zone-role.ts';
export * from './view-fingerprint.ts';

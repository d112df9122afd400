export * from './member.ts';
export * from './membership.ts';
export * from './entry-vms.ts';
export * from './duty.ts';

export type * from './fleet-event.ts';
export * from './fleet-parameters.ts';
export {anyIncarnation, unnamedIncarnation} from './fleet-row.ts';
export type * from './fleet-state.ts';
export * from './fleet.ts';

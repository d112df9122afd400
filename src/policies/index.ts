export * from './labels.ts';
export * from './is-selected.ts';
export * from './slices.ts';
export * from './schedules.ts';
export * from './match-policy.ts';

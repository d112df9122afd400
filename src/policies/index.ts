export * from './labels.ts';
export * from './matches-selector.ts';
export * from './slices.ts';
export * from './schedules.ts';
export * from './match-policy.ts';

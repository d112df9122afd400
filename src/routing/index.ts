export * from './residency.ts';
export * from './candidates.ts';
export * from './candidate-pool.ts';
export * from './choose-backend-server.ts';
export * from './choose-zone.ts';
export * from './eligibility.ts';

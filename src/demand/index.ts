export * from './request-sums.ts';
export * from './region-load.ts';
export * from './overflow-fraction.ts';
export * from './region-balance.ts';
export * from './node-capacities.ts';
export * from './graded-capacity.ts';
export * from './urgency-pressure.ts';
export * from './contended-services.ts';

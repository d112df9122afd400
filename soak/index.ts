export * from './fault-plan.ts';
export * from './soak-server.ts';
export * from './soak-nodes.ts';
export * from './soak-routes.ts';
export * from './soak-callers.ts';
export * from './check-soak.ts';
export * from './play-soak.ts';

export * from './run-until-stopped.ts';
export * from './stop-request.ts';

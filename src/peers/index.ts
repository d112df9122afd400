export type * from './forward-call.ts';
export * from './seal.ts';
export * from './heartbeat-codec.ts';
export * from './heartbeat-socket.ts';
export * from './peer-router.ts';
export * from './peer-calls.ts';
export * from './peer-server.ts';

export * from './mesh.ts';
export * from './peer-listener.ts';
export * from './peer-client.ts';

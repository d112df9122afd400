export * from './setting.ts';
export * from './setting-kinds.ts';
export * from './serve-settings.ts';
export * from './read-settings.ts';

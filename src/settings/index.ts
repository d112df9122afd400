export * from './setting.ts';
export * from './setting-kinds.ts';
export * from './serve-settings.ts';
export * from './read-settings.ts';
export * from './gateway-settings.ts';
export * from './describe-settings.ts';

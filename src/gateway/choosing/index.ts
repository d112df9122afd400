export * from './choose-upstream.ts';
export * from './gateway-chooser.ts';
export * from './placement-view.ts';

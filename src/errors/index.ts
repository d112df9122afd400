export * from './error-kind.ts';
export * from './answer-table.ts';
export * from './gateway-error.ts';
export * from './error-answer.ts';

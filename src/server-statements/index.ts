export * from './server-statements.ts';
export * from './statement-headers.ts';
export * from './parse-statements.ts';
export * from './stated-answer.ts';
export * from './read-statements.ts';
export * from './statement-intake.ts';
export * from './server-rests.ts';
export * from './server-standings.ts';

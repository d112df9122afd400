import type {Answer} from './answer.ts';

/**
Continues with the next filter.
*/
export type Next<Output> = (output: Output) => Promise<Answer>;

/**
 One step of a request's way.
 
 A filter passes on what it learned, or answers by itself; what it does after `next`
 returns sees the answer on its way back.
 */
export type Filter<Input, Output> = (
	input: Input,
	next: Next<Output>,
) => Promise<Answer>;

/**
Puts one filter behind another.
*/
export const chain =
	<Input, Middle, Output>(
		first: Filter<Input, Middle>,
		second: Filter<Middle, Output>,
	): Filter<Input, Output> =>
	async (input, next) =>
		first(input, async (middle) => second(middle, next));

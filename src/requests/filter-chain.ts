import type {Answer} from './answer.ts';

/**
Continues with the next filter.
*/
export type Next<Output> = (output: Output) => Promise<Answer>;

/**
 One step in the processing of a request.
 
 A filter either calls `next` with its result or answers the request itself. Code after
 `next` sees the answer that the later filters return.
 */
export type Filter<Input, Output> = (
	input: Input,
	next: Next<Output>,
) => Promise<Answer>;

/**
Composes two filters; the output of the first is the input of the second.
*/
export const chain =
	<Input, Middle, Output>(
		first: Filter<Input, Middle>,
		second: Filter<Middle, Output>,
	): Filter<Input, Output> =>
	async (input, next) =>
		first(input, async (middle) => second(middle, next));

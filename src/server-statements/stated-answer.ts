/**
The kinds of answers in which backend servers make statements.
*/
export const answerSources = [
	/**
	To a request, whole or the head of a stream, or a failure.
	*/
	'answer',
	/**
	To a request that the server did not run.
	*/
	'refusal',
	/**
	To an earlier request, received in place of the expected answer.
	*/
	'surplus answer',
	'health check',
	'cache read',
	'load report',
	/**
	Received by way of another node.
	*/
	'relayed answer',
] as const;

/**
One kind of answer.
*/
export type AnswerSource = (typeof answerSources)[number];

/**
The head of an answer, with the server that made it.
*/
export type StatedAnswer = {
	readonly server: string;
	/**
	Names the life of the server that the request was sent to.
	*/
	readonly incarnationId: string;
	readonly source: AnswerSource;
	/**
	When the request was sent, and when its answer came, by this node's clock in milliseconds.
	*/
	readonly sentAt: number;
	readonly receivedAt: number;
	readonly status: number;
	/**
	Whether it proves that the server works, so that a missing limit ends an earlier one.
	*/
	readonly isSigned: boolean;
	readonly header: (name: string) => string | undefined;
};

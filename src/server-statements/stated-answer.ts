/**
Kinds of responses in which backend servers make statements.
*/
export const answerSources = [
	/**
	Response to a request: complete, the head of a stream, or an error.
	*/
	'answer',
	/**
	Response to a request that the server did not run.
	*/
	'refusal',
	/**
	Response to an earlier request, received in place of the expected one.
	*/
	'surplus answer',
	'health check',
	'cache read',
	'load report',
	/**
	Response that another node relayed.
	*/
	'relayed answer',
] as const;

/**
Kind of a response.
*/
export type AnswerSource = (typeof answerSources)[number];

/**
Status and headers of a response, with the server that created it.
*/
export type StatedAnswer = {
	readonly server: string;
	/**
	Identifies the incarnation of the server to which the request was sent.
	*/
	readonly incarnationId: string;
	readonly source: AnswerSource;
	/**
	Times at which the request was sent and its response arrived, by this node's clock in milliseconds.
	*/
	readonly sentAt: number;
	readonly receivedAt: number;
	readonly status: number;
	/**
	Whether the response proves that the server works. In this case, a missing limit ends an earlier one.
	*/
	readonly isSigned: boolean;
	readonly header: (name: string) => string | undefined;
};

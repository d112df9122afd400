/**
What began a stream. Only backend servers of this service and version can continue it.
*/
export type StreamOrigin = {
	readonly service: string;
	/**
	Version of the software that wrote the first event.
	*/
	readonly softwareVersion: string;
};

/**
The origin of one stream, as nodes exchange it.
*/
export type OriginRecord = StreamOrigin & {
	/**
	Identifies the caller's request that brought the first event; see `originKeyOf`.
	*/
	readonly key: string;
	/**
	How much longer the record is kept, in milliseconds.
	*/
	readonly lifeMs: number;
};

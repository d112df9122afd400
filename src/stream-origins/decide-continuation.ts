import type {StreamOrigin} from './stream-origin.ts';

/**
Where a stream may be continued.
*/
export type Continuation =
	/**
	At servers of the service and version that began it.
	*/
	| {readonly kind: 'bound'; readonly origin: StreamOrigin}
	/**
	At any server of its service, because none of another version can be known to the node.
	*/
	| {readonly kind: 'any'}
	| {readonly kind: 'impossible'; readonly reason: string};

/**
What a node knows about the origin of a stream.
*/
export type ContinuationEvidence = {
	/**
	The origin according to a record; undefined if no record was found.
	*/
	readonly origin: StreamOrigin | undefined;
	/**
	The service to which the request would go if it were a new one.
	*/
	readonly service: string;
	/**
	The services of the stream's route.
	*/
	readonly services: readonly string[];
	/**
	The versions of the service that were in use at any time since the stream can have begun; undefined if this node cannot tell.
	*/
	readonly versions: ReadonlySet<string> | undefined;
};

/**
Decides where a stream may be continued. Without a record, a stream is continued only if no second version can have begun it.
*/
export const decideContinuation = ({
	origin,
	service,
	services,
	versions,
}: ContinuationEvidence): Continuation => {
	if (origin) {
		return services.includes(origin.service)
			? {kind: 'bound', origin}
			: {
					kind: 'impossible',
					reason:
						'The route no longer leads to the service that began the stream; send the request without Last-Event-Id',
				};
	}

	if (versions === undefined || versions.size > 1 || services.length > 1) {
		return {
			kind: 'impossible',
			reason:
				'No record says which software version began the stream; send the request without Last-Event-Id',
		};
	}

	// Naming the version keeps a node with a later copy of the registry from using another one.
	const [softwareVersion] = versions;
	return softwareVersion === undefined
		? {kind: 'any'}
		: {kind: 'bound', origin: {service, softwareVersion}};
};

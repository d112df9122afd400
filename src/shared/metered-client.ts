import {Client, type Dispatcher} from 'undici';

/**
Maximum number of bytes of a response beside its body: heads, interim heads, chunk framing and trailers. The framing of a chunk takes
five bytes, so that a response of this many bytes may be in chunks of any size, and a longer one in chunks of five bytes or more.
*/
export const maximumOverheadBytes = 262_144;

/**
Creates an HTTP client with one connection, which it closes when a response holds too many bytes that are not part of its body. A
server could otherwise keep a node busy without end. To be used as the `factory` of a pool of such clients.
*/
export const createMeteredClient = (
	origin: URL | string,
	options: Client.Options,
): Client => {
	const {connect} = options;
	if (typeof connect !== 'function') {
		throw new TypeError('A metered client needs a connector function');
	}

	let receivedBytes = () => 0;
	let receivedBefore = 0;
	let bodyBytes = 0;

	const isOverLimit = (): boolean =>
		receivedBytes() - receivedBefore - bodyBytes >
		maximumOverheadBytes + bodyBytes;

	const client = new Client(origin, {
		...options,
		connect(connectOptions, callback) {
			connect(connectOptions, (error, socket) => {
				if (error) {
					callback(error, null);
					return;
				}

				receivedBytes = () => socket.bytesRead;
				receivedBefore = 0;
				// This listener runs before that of the client, which reads the bytes.
				socket.on('readable', () => {
					if (isOverLimit()) {
						socket.destroy(
							new Error('response holds too many bytes beside its body'),
						);
					}
				});
				callback(null, socket);
			});
		},
	});

	const dispatch = client.dispatch.bind(client);
	client.dispatch = (request, handler) =>
		dispatch(request, {
			onRequestStart(controller, context) {
				receivedBefore = receivedBytes();
				bodyBytes = 0;
				handler.onRequestStart?.(controller, context);
			},
			onRequestUpgrade(controller, status, headers, socket) {
				handler.onRequestUpgrade?.(controller, status, headers, socket);
			},
			onResponseStart(controller, status, headers, message) {
				handler.onResponseStart?.(controller, status, headers, message);
			},
			onResponseData(controller, chunk) {
				bodyBytes += chunk.length;
				handler.onResponseData?.(controller, chunk);
			},
			onResponseEnd(controller, trailers) {
				handler.onResponseEnd?.(controller, trailers);
			},
			onResponseError(controller, error) {
				handler.onResponseError?.(controller, error);
			},
		} satisfies Dispatcher.DispatchHandler);
	return client;
};

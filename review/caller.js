/* eslint-disable jsdoc/require-param, jsdoc/require-param-type, jsdoc/require-returns-type, no-unmodified-loop-condition -- the names are those of the pages, plain JavaScript has no types to repeat, and a case ends with an exit code */
// A caller that sends one request on a connection of its own and keeps what it receives.
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {performance} from 'node:perf_hooks';

// No answer has more lines in its head.
const maximumHeaders = 100;

let lastId = 0;

/**
Returns an id that no other request has.
*/
export const nextAttemptId = () => {
	lastId += 1;
	return `a${lastId.toString(16).padStart(7, '0')}`;
};

const splitHead = (bytes) => {
	const end = bytes.indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const [statusLine, ...lines] = bytes
		.subarray(0, end)
		.toString('latin1')
		.split('\r\n', maximumHeaders);
	const headers = Object.fromEntries(
		lines.map((line) => {
			const colon = line.indexOf(':');
			return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
		}),
	);
	return {
		status: Number(statusLine.split(' ', 2)[1]),
		headers,
		body: bytes.subarray(end + 4),
	};
};

// Returns the decoded body and whether it is whole.
const readChunks = (bytes) => {
	const parts = [];
	let at = 0;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		if (lineEnd === -1) {
			return {body: Buffer.concat(parts), isWhole: false};
		}

		const size = Number.parseInt(
			bytes.subarray(at, lineEnd).toString('latin1'),
			16,
		);
		at = lineEnd + 2;
		if (size === 0) {
			return {body: Buffer.concat(parts), isWhole: bytes.length >= at + 2};
		}

		parts.push(bytes.subarray(at, at + size));
		if (bytes.length < at + size + 2) {
			return {body: Buffer.concat(parts), isWhole: false};
		}

		at += size + 2;
	}
};

/**
Decodes what was received.

@returns Undefined without a whole head.
*/
export const decodeAnswer = (bytes) => {
	const head = splitHead(bytes);
	if (!head) {
		return undefined;
	}

	const {status, headers, body} = head;
	if (headers['transfer-encoding'] === 'chunked') {
		return {status, headers, ...readChunks(body)};
	}

	const length = Number(headers['content-length'] ?? 0);
	return {status, headers, body, isWhole: body.length >= length};
};

/**
Sends a request and resolves when the connection has ended or the answer is whole.

@param options
@param options.bytesPerSecond Rate at which it reads; unlimited if undefined.
@param options.giveUpMs Time after which it closes the connection.
*/
export const call = async ({
	address,
	method = 'POST',
	host,
	target,
	headers = {},
	body = Buffer.alloc(0),
	attemptId = nextAttemptId(),
	deadlineMs,
	bytesPerSecond,
	giveUpMs = deadlineMs,
}) => {
	const colon = address.lastIndexOf(':');
	const head = [
		`${method} ${target} HTTP/1.1`,
		`Host: ${host}`,
		`X-Quillford-Attempt-Id: ${attemptId}`,
		`X-Quillford-Deadline-Ms: ${deadlineMs}`,
		...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
		...(method === 'GET' ? [] : [`Content-Length: ${body.length}`]),
	];
	const result = {
		attemptId,
		sentAt: performance.now(),
		endedAt: undefined,
		how: undefined,
	};
	const parts = [];
	let size = 0;
	await new Promise((resolve) => {
		const socket = connect(
			Number(address.slice(colon + 1)),
			address.slice(0, colon),
		);
		const startedAt = performance.now();
		let expected = Infinity;
		const end = (how) => {
			if (result.how !== undefined) {
				return;
			}

			result.how = how;
			result.endedAt = performance.now();
			clearTimeout(timer);
			clearInterval(reading);
			socket.destroy();
			resolve();
		};

		const timer = setTimeout(() => {
			end('given up');
		}, giveUpMs);

		const take = (part) => {
			parts.push(part);
			size += part.length;
			if (expected === Infinity) {
				const known = splitHead(Buffer.concat(parts));
				const length = known?.headers['content-length'];
				expected =
					length === undefined
						? Infinity
						: size - known.body.length + Number(length);
			}

			const last = part.subarray(-5).toString('latin1');
			if (
				size >= expected ||
				(expected === Infinity && last.endsWith('0\r\n\r\n'))
			) {
				end('answered');
			}
		};

		let reading;
		if (bytesPerSecond === undefined) {
			socket.on('data', take);
		} else {
			// Reads no more than its rate allows; the rest stays in the buffers of the connection.
			socket.pause();
			socket.on('readable', () => undefined);
			reading = setInterval(() => {
				const allowed =
					((performance.now() - startedAt) / 1000) * bytesPerSecond;
				while (size < allowed && result.how === undefined) {
					const part =
						socket.read(Math.min(socket.readableLength, 65_536)) ?? undefined;
					if (part === undefined || part.length === 0) {
						break;
					}

					take(part);
				}
			}, 20);
		}

		socket.on('error', (error) => {
			end(error.code ?? 'error');
		});
		socket.on('end', () => {
			end('closed');
		});
		socket.on('close', () => {
			end('closed');
		});
		socket.write(
			Buffer.concat([Buffer.from(`${head.join('\r\n')}\r\n\r\n`), body]),
		);
	});
	const answer = decodeAnswer(Buffer.concat(parts));
	return {...result, answer, isComplete: answer?.isWhole === true};
};

const isWholeAnswer = (bytes) => {
	const answer = bytes.length === 0 ? undefined : decodeAnswer(bytes);
	return answer?.isWhole === true;
};

/**
Opens a connection on which one request after the other is sent.
*/
export const openKeptConnection = async (address) => {
	const colon = address.lastIndexOf(':');
	const socket = connect(
		Number(address.slice(colon + 1)),
		address.slice(0, colon),
	);
	let received = Buffer.alloc(0);
	let onChange = () => undefined;
	let isClosed = false;
	socket.on('data', (part) => {
		received = Buffer.concat([received, part]);
		onChange();
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		isClosed = true;
		onChange();
	});
	await new Promise((resolve) => {
		socket.once('connect', resolve);
	});

	return {
		/**
		Sends a request and resolves once the answer is whole, the connection has ended or the deadline has passed.
		*/
		async send({
			method = 'POST',
			host,
			target,
			headers = {},
			body = Buffer.alloc(0),
			deadlineMs,
		}) {
			const attemptId = nextAttemptId();
			received = Buffer.alloc(0);
			const sentAt = performance.now();
			const head = [
				`${method} ${target} HTTP/1.1`,
				`Host: ${host}`,
				`X-Quillford-Attempt-Id: ${attemptId}`,
				`X-Quillford-Deadline-Ms: ${deadlineMs}`,
				...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
				...(method === 'GET' ? [] : [`Content-Length: ${body.length}`]),
			];
			socket.write(
				Buffer.concat([Buffer.from(`${head.join('\r\n')}\r\n\r\n`), body]),
			);
			const how = await new Promise((resolve) => {
				const timer = setTimeout(() => {
					resolve('given up');
				}, deadlineMs);
				onChange = () => {
					if (isWholeAnswer(received)) {
						clearTimeout(timer);
						resolve('answered');
					} else if (isClosed) {
						clearTimeout(timer);
						resolve('closed');
					}
				};

				onChange();
			});
			return {
				attemptId,
				how,
				bytes: received.length,
				answer: decodeAnswer(received),
				heldMs: performance.now() - sentAt,
			};
		},
		isClosed: () => isClosed,
		end() {
			socket.destroy();
		},
	};
};

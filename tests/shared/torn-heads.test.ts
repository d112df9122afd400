// Guards against responses that end within their head and are taken for whole ones.
import {test, type TestContext} from 'node:test';
import {startRawConnections, type RawAnswer} from '../raw-connections.ts';
import {readers} from '../response-readers.ts';

const heads = {
	'a length': 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
	chunks: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n',
	'no length': 'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n',
	'HTTP/1.0': 'HTTP/1.0 200 OK\r\nx-other: a\r\n\r\n',
	'an interim head':
		'HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n',
};

// Not a success, so that a reader keeps the connection and reads nothing of it.
const wholeAnswer: RawAnswer = {
	packets: ['HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n'],
	end: 'keep',
};

for (const [readerName, createReader] of Object.entries(readers)) {
	for (const [headName, head] of Object.entries(heads)) {
		test(`the read of ${readerName} fails if the response ends within a head with ${headName}`, async (t: TestContext) => {
			let torn: RawAnswer = wholeAnswer;
			let tornOnKept = 0;
			const server = await startRawConnections(t, ({earlier}) => {
				tornOnKept += earlier > 0 ? 1 : 0;
				return torn;
			});
			const reader = createReader(server.address);
			t.after(reader.close);
			for (let length = 0; length < head.length; length += 1) {
				for (const end of ['close', 'reset'] as const) {
					for (const isKept of [false, true]) {
						if (isKept) {
							torn = wholeAnswer;
							await reader.hasFailed();
						}

						torn = {packets: [head.slice(0, length)], end};
						t.assert.ok(
							await reader.hasFailed(),
							`${length} bytes, ${end}, ${isKept ? 'kept' : 'fresh'}`,
						);
					}
				}
			}

			t.assert.ok(tornOnKept > head.length);
		});
	}
}

// Guards against a service whose responses never end, and which takes the memory or the processor time of the nodes that read it.
import {test, type TestContext} from 'node:test';
import {maximumOverheadBytes} from '../../src/shared/index.ts';
import {endlessResponses} from '../../stand-ins/endless-bytes.ts';
import {startEndlessServer} from '../endless-server.ts';
import {readers, type Reader} from '../response-readers.ts';
import {waitUntil} from '../until.ts';

// What is on its way when a reader closes the connection, in bytes.
const inTransitBytes = 16_777_216;

const maximumReadOf = ({maximumBytes}: Reader): number =>
	maximumBytes * 2 + maximumOverheadBytes;

const head = 'HTTP/1.1 200 OK\r\n';

for (const [readerName, createReader] of Object.entries(readers)) {
	for (const [name, bytes] of Object.entries(endlessResponses(head))) {
		test(`the read of ${readerName} ends with its connection at ${name} without end`, async (t: TestContext) => {
			const server = await startEndlessServer(t, () => bytes);
			const reader = createReader(server.address);
			t.after(reader.close);
			t.assert.ok(await reader.hasFailed());
			await waitUntil(() => server.openConnections() === 0);
			t.assert.strictEqual(server.openConnections(), 0);
			t.assert.ok(
				server.writtenBytes() <= maximumReadOf(reader) + inTransitBytes,
				`${server.writtenBytes()} bytes`,
			);
		});
	}
}

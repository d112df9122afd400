// Guards against requests of which no two are alike, but which share one part of their prompts that crashes every server.
import {test, type TestContext} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {RunLog} from '../../stand-ins/crashing-server.ts';
import {ask, setUpCrashes, type Answer} from './crash-scene.ts';

const isFatal = (body: string) => body.startsWith('fatal');

// Crashes with the part after which nodes must know it, and the time that they have to inform each other, in milliseconds.
const toleratedCrashes = 5;
const propagationMs = 1000;

// Tolerated sends of requests with the part after that, by all nodes together.
const toleratedSends = 3;

const lateSends = ({runs, crashes}: RunLog): number => {
	const from = (crashes[toleratedCrashes - 1]?.at ?? Infinity) + propagationMs;
	return runs.filter(({at, body}) => isFatal(body) && at > from).length;
};

// Sends sound requests through all nodes in turn, and one with the fatal part for every five of them.
const sendMixed = async (
	addresses: readonly string[],
	turns: number,
	fatalParts: (turn: number) => readonly string[],
): Promise<readonly Answer[]> => {
	const sound: Array<Promise<Answer>> = [];
	const fatal: Array<Promise<Answer>> = [];
	for (let turn = 0; turn < turns; turn += 1) {
		const address = addresses[turn % addresses.length]!;
		const own = `own ${turn}`;
		sound.push(
			ask(address, `sound ${turn}`, ['common', `topic-${turn % 7}`, own]),
		);
		if (turn % 5 === 0) {
			fatal.push(ask(address, `fatal ${turn}`, [...fatalParts(turn), own]));
		}

		await sleep(20);
	}

	await Promise.all(fatal);
	return Promise.all(sound);
};

const places: ReadonlyArray<
	readonly [string, (turn: number) => readonly string[]]
> = [
	['first', () => ['deadly', 'topic-1']],
	['in the middle', (turn) => ['common', 'deadly', `topic-${turn % 7}`]],
	['before the last', (turn) => ['common', `topic-${turn % 7}`, 'deadly']],
];

for (const [place, fatalParts] of places) {
	test(`a part of prompts that crashes servers is found ${place}, and sound requests with the other parts go on`, async (t: TestContext) => {
		const {deployment, runLog} = await setUpCrashes(
			t,
			{maximumAttempts: 3, kind: 'idempotent'},
			isFatal,
		);
		const sound = await sendMixed(deployment.callerAddresses, 300, fatalParts);
		t.assert.ok(runLog.crashes.length > 0);
		t.assert.ok(
			lateSends(runLog) <= toleratedSends,
			`sent ${lateSends(runLog)} times late, ${runLog.crashes.length} crashes`,
		);
		t.assert.deepStrictEqual(
			sound.filter(({text}) => text.includes('quarantine')),
			[],
		);
		const afterwards = sound.slice(150);
		const served = afterwards.filter(({status}) => status === 200);
		t.assert.ok(
			served.length >= afterwards.length / 2,
			`${served.length} of ${afterwards.length} sound requests served`,
		);
	});
}

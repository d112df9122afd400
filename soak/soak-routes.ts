/**
Routes of a soak test, which change during the test.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {writeRoutes, type StandInRegistry} from '../stand-ins/registry.ts';
import {documentOf, routeOf, serviceOf} from '../tests/gateway/fixtures.ts';

/**
Time in which the registry lacks routes that were in force before. All times are in milliseconds of the checker's clock.
*/
export type LostRoutes = {
	/**
	When the registry went away, before it was restored from a backup.
	*/
	readonly awayAt: number;
	/**
	By when nodes must know the routes again, after they were written again.
	*/
	until: number;
	/**
	Latest version of the routes in the backup.
	*/
	readonly restoredVersion: number;
};

/**
Controls the routes and the availability of the registry.
*/
export type SoakRoutes = {
	/**
	Writes a new version of the document with one more route.
	*/
	change(): void;
	/**
	Makes the registry unavailable for the given time in milliseconds.
	*/
	takeRegistryDown(forMs: number): Promise<void>;
	/**
	Makes the registry unavailable, then restores it from a backup that lacks the latest writes. Repeats the lost writes
	after a short delay.
	*/
	restoreRegistry(forMs: number, writes: number): Promise<void>;
	/**
	Latest version that all nodes must have in force.
	*/
	appliedVersion(): number;
	readonly lostRoutes: readonly LostRoutes[];
};

/**
Maximum number of servers that a request may be sent to.
*/
export const maximumAttempts = 2;

/**
Time after a change of the registry by which all undisturbed nodes must apply it, in milliseconds.
*/
export const applyMs = 3000;

const lostWriteDelayMs = 300;
const timeoutSteps = 3;
const timeoutStepMs = 100;
const longestTimeoutMs = 3000;

const shortIdleMs = 5000;

/**
Maximum length of the body of a request, in bytes.
*/
export const maximumBodyBytes = 2_097_152;

const limits = {...documentOf().limits, maximumBodyBytes};

/**
The shortest time limit that a route has during the test, in milliseconds.
*/
export const shortestTimeoutMs =
	longestTimeoutMs - (timeoutSteps - 1) * timeoutStepMs;

const documentWith = (version: number) => {
	const common = {
		maximumAttempts,
		timeoutMs: longestTimeoutMs - (version % timeoutSteps) * timeoutStepMs,
		targetLatencyMs: 400,
	};
	const added = Array.from({length: version}, (_, index) =>
		routeOf({
			...common,
			name: `added-${index + 1}`,
			pathPrefix: `/added/${index + 1}/`,
			kind: 'idempotent',
		}),
	);
	return documentOf({
		version,
		routes: [
			routeOf({
				...common,
				name: 'once',
				pathPrefix: '/once/',
				kind: 'non-idempotent',
			}),
			routeOf({
				...common,
				name: 'repeatable',
				pathPrefix: '/repeatable/',
				kind: 'idempotent',
			}),
			routeOf({
				...common,
				name: 'stream',
				pathPrefix: '/stream/',
				kind: 'streaming',
				isResumable: true,
			}),
			...added,
		],
		services: [serviceOf()],
		limits: {
			...limits,
			idleTimeoutMs: version % 2 === 0 ? limits.idleTimeoutMs : shortIdleMs,
		},
	});
};

/**
Writes the first version of the routes to the registry.
*/
export const createSoakRoutes = (registry: StandInRegistry): SoakRoutes => {
	let version = 0;
	let applied = 0;
	// Changes when an outage begins or ends: nodes may miss writes shortly before it, so those don't count as applied.
	let availabilityEpoch = 0;
	let outages = 0;
	// By version, the revision of the registry that holds it.
	const revisions = new Map<number, number>();
	const lostRoutes: LostRoutes[] = [];

	const applyLater = async () => {
		const written = {version, availabilityEpoch};
		await sleep(applyMs, undefined, {ref: false});
		if (outages === 0 && written.availabilityEpoch === availabilityEpoch) {
			applied = Math.max(applied, written.version);
		}
	};

	const change = () => {
		version += 1;
		writeRoutes(registry, documentWith(version));
		revisions.set(version, registry.revision());
		void applyLater();
	};

	const beginOutage = () => {
		availabilityEpoch += 1;
		outages += 1;
		registry.setUp(false);
	};

	const endOutage = () => {
		availabilityEpoch += 1;
		outages -= 1;
		registry.setUp(outages === 0);
		void applyLater();
	};

	const latestVersionAt = (revision: number): number =>
		Math.max(
			0,
			...revisions
				.entries()
				.filter(([, at]) => at <= revision)
				.map(([each]) => each),
		);

	change();

	return {
		change,
		async takeRegistryDown(forMs) {
			beginOutage();
			await sleep(forMs);
			endOutage();
		},
		async restoreRegistry(forMs, writes) {
			const awayAt = performance.now();
			beginOutage();
			await sleep(forMs);
			const revision = Math.max(0, registry.revision() - writes);
			const repeatLostWrites = registry.restore(revision);
			const lost: LostRoutes = {
				awayAt,
				until: Infinity,
				restoredVersion: latestVersionAt(revision),
			};
			lostRoutes.push(lost);
			endOutage();
			await sleep(lostWriteDelayMs);
			repeatLostWrites();
			revisions.set(version, registry.revision());
			lost.until = performance.now() + applyMs;
			availabilityEpoch += 1;
			void applyLater();
		},
		appliedVersion: () => applied,
		lostRoutes,
	};
};

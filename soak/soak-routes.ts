/**
The routes of a soak, which the operator changes while it runs.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import {writeRoutes, type StandInRegistry} from '../stand-ins/registry.ts';
import {documentOf, routeOf, serviceOf} from '../tests/gateway/fixtures.ts';

/**
The routes, and the registry that holds them.
*/
export type SoakRoutes = {
	/**
	Writes a version with one more route.
	*/
	change(): void;
	/**
	The registry is away for a time, in milliseconds.
	*/
	takeRegistryDown(forMs: number): Promise<void>;
	/**
	The registry is away for a time and comes back from a copy that is some writes old; what was lost is written again a moment later.
	*/
	restoreRegistry(forMs: number, writes: number): Promise<void>;
	/**
	The latest version that all nodes must have in force.
	*/
	appliedVersion(): number;
};

/**
Servers that a request may be sent to.
*/
export const maximumAttempts = 2;

/**
A change binds all nodes this long after the registry has it, in milliseconds.
*/
export const applyMs = 3000;

const rewriteMs = 300;

const documentWith = (version: number) => {
	const common = {maximumAttempts, timeoutMs: 3000, targetLatencyMs: 400};
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
	});
};

/**
Writes the first version.
*/
export const createSoakRoutes = (registry: StandInRegistry): SoakRoutes => {
	let version = 0;
	let applied = 0;
	// Changes with each absence, which may keep nodes from what was written shortly before.
	let presence = 0;
	let absences = 0;

	const applyLater = async () => {
		const written = {version, presence};
		await sleep(applyMs, undefined, {ref: false});
		if (absences === 0 && written.presence === presence) {
			applied = Math.max(applied, written.version);
		}
	};

	const change = () => {
		version += 1;
		writeRoutes(registry, documentWith(version));
		void applyLater();
	};

	const leave = () => {
		presence += 1;
		absences += 1;
		registry.setUp(false);
	};

	const comeBack = () => {
		presence += 1;
		absences -= 1;
		registry.setUp(absences === 0);
		void applyLater();
	};

	change();

	return {
		change,
		async takeRegistryDown(forMs) {
			leave();
			await sleep(forMs);
			comeBack();
		},
		async restoreRegistry(forMs, writes) {
			leave();
			await sleep(forMs);
			const writeAgain = registry.restore(
				Math.max(0, registry.revision() - writes),
			);
			comeBack();
			await sleep(rewriteMs);
			writeAgain();
			presence += 1;
			void applyLater();
		},
		appliedVersion: () => applied,
	};
};

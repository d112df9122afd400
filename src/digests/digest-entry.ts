/**
Which nodes an entry is meant for.
*/
export type DigestScope = 'availability-zone' | 'everywhere';

/**
Load of a backend server, as its latest report gave it.
*/
export type ServerLoad = {
	readonly backendServer: string;
	readonly running: number;
	readonly queued: number;
	readonly slots: number;

	/**
	Names the engine process; a restart changes it.
	*/
	readonly incarnation: string;
};

/**
What one entry says; each kind is small and complete in itself.
*/
export type DigestValue =
	| {
			/**
			Loads of the backend servers that one node reads.
			*/
			readonly kind: 'loads';
			readonly node: string;
			readonly reports: readonly ServerLoad[];
	  }
	| {
			/**
			Requests that one node has in flight, by backend server.
			*/
			readonly kind: 'in-flight';
			readonly node: string;
			readonly counts: Readonly<Record<string, number>>;
	  }
	| {
			/**
			A backend server that is to be given no new work.
			*/
			readonly kind: 'leaving';
			readonly backendServer: string;
			readonly incarnation: string;
	  }
	| {
			/**
			Capacity of one zone, for nodes of other zones.
			*/
			readonly kind: 'zone-summary';
			readonly availabilityZone: string;
			readonly services: Readonly<Record<string, ZoneServiceSummary>>;
	  }
	| {
			/**
			Demand of client accounts, in requests a second, at one node or in one zone.
			*/
			readonly kind: 'demand';
			readonly holder: string;
			readonly availabilityZone: string;
			readonly rates: Readonly<Record<string, number>>;
	  };

/**
Load and speed of one service in one zone.
*/
export type ZoneServiceSummary = {
	readonly load: number;
	readonly slots: number;
	readonly firstTokenMs: number;
	readonly costPerThousandTokens: number;
};

/**
One entry as it travels; its age lets each receiver date it by its own clock.
*/
export type DigestEntry = {
	readonly reporter: string;
	/**
	Start of the reporting process, in milliseconds since the epoch.
	*/
	readonly incarnation: number;
	/**
	Rises with each statement of the reporter.
	*/
	readonly counter: number;
	readonly ageMs: number;
	readonly scope: DigestScope;
	/**
	The reporter's zone; entries for one zone stay in it.
	*/
	readonly availabilityZone: string;
	readonly value: DigestValue;
};

/**
What an entry is about; a later statement about the same thing replaces it.
*/
export const digestKey = (value: DigestValue): string => {
	switch (value.kind) {
		case 'loads': {
			return `loads/${value.node}`;
		}

		case 'in-flight': {
			return `in-flight/${value.node}`;
		}

		case 'leaving': {
			// One key for each process: a leaving word is never replaced, only outlived.
			return `leaving/${value.backendServer}/${value.incarnation}`;
		}

		case 'zone-summary': {
			return `zone-summary/${value.availabilityZone}`;
		}

		case 'demand': {
			return `demand/${value.holder}`;
		}
	}
};

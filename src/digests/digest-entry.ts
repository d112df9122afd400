/**
Nodes that may receive an entry.
*/
export type DigestScope = 'availability-zone' | 'everywhere';

/**
Load of a backend server according to its latest report.
*/
export type ServerLoad = {
	readonly backendServer: string;
	readonly running: number;
	readonly queued: number;
	readonly slots: number;

	/**
	Identifies the engine process; a restart changes it.
	*/
	readonly incarnation: string;
};

/**
Content of an entry. Each kind is small and self-contained.
*/
export type DigestValue =
	| {
			/**
			Loads of the backend servers that one node polls.
			*/
			readonly kind: 'loads';
			readonly node: string;
			readonly reports: readonly ServerLoad[];
	  }
	| {
			/**
			Requests that one node has in flight, per backend server.
			*/
			readonly kind: 'in-flight';
			readonly node: string;
			readonly counts: Readonly<Record<string, number>>;
	  }
	| {
			/**
			A backend server that is shutting down and must not receive new requests.
			*/
			readonly kind: 'leaving';
			readonly backendServer: string;
			readonly incarnation: string;
	  }
	| {
			/**
			Capacity of one zone, published for the nodes of other zones.
			*/
			readonly kind: 'zone-summary';
			readonly availabilityZone: string;
			readonly services: Readonly<Record<string, ZoneServiceSummary>>;
	  }
	| {
			/**
			Demand of client accounts at one node or in one zone, in requests per second.
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
A digest entry in the form that nodes exchange. It carries an age, so that each receiver can compute the observation time on its own clock.
*/
export type DigestEntry = {
	readonly reporter: string;
	/**
	Start time of the reporting process, in milliseconds since the Unix epoch.
	*/
	readonly incarnation: number;
	/**
	Increases with each entry that the reporter publishes.
	*/
	readonly counter: number;
	readonly ageMs: number;
	readonly scope: DigestScope;
	/**
	Zone of the reporter. Entries with the scope `availability-zone` do not leave it.
	*/
	readonly availabilityZone: string;
	readonly value: DigestValue;
};

/**
Returns the key of a value. A later entry with the same key replaces the earlier one.
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
			// Each process has its own key: a leaving entry is never replaced and ends only by expiry.
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

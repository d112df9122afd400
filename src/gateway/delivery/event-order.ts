/**
Decides which events of a resumable stream are relayed, by their ids.

The transport proves that nothing is missing of what one server wrote. Where another server continues the stream, and where a server
itself has left an event out, only the ids can tell. Ids that rise by one leave no doubt. Ids that rise by more are taken for sound
once the numbering of the stream or of its service is known to do so.
*/
export type EventOrder = {
	/**
	Judges the next event that has an id.
	*/
	judge(id: bigint): EventVerdict;
	/**
	Begins the response of another server, which continues the stream after the last event that was relayed.
	*/
	beginResponse(): void;
	/**
	Judges the held event once the response has ended as its server meant it to.
	*/
	endResponse(): 'complete' | 'missing';
	/**
	Returns the id of the last event that was relayed.
	*/
	lastId(): bigint | undefined;
};

/**
What becomes of an event.

`hold`: it is relayed only if the next event shows that none is missing before it. `release`: the held event and this one are
relayed. `skip`: the receiver already has it. `missing`: the stream must not continue.
*/
export type EventVerdict = 'pass' | 'hold' | 'release' | 'skip' | 'missing';

/**
How the servers of a service number the events of their streams.
*/
export type StreamNumbering = {
	/**
	Whether ids are known to rise by more than one.
	*/
	isSparse(): boolean;
	/**
	Records two steps of more than one, one after the other. A server that numbers by one would have left out two events.
	*/
	recordSparse(id: bigint): void;
};

/**
Creates the order of one stream.

@param lastDelivered Id of the last event that the receiver already has.
@param numbering How the servers of the service number events.
*/
export const createEventOrder = (
	lastDelivered: bigint | undefined,
	numbering: StreamNumbering,
): EventOrder => {
	let last = lastDelivered;
	let first: bigint | undefined;
	let held: bigint | undefined;
	let isSparse = false;
	// Whether the response has not had a new event yet.
	let isAtJoin = last !== undefined;
	// Which events that the receiver already has the response began with.
	let repeated: 'none' | 'others' | 'last' = 'none';

	const isKnownSparse = () => isSparse || numbering.isSparse();

	const accept = (id: bigint) => {
		if (last === undefined) {
			first = id;
		}

		last = id;
		held = undefined;
		isAtJoin = false;
	};

	const pass = (id: bigint): EventVerdict => {
		accept(id);
		return 'pass';
	};

	const skip = (id: bigint): EventVerdict => {
		if (isAtJoin && repeated !== 'last') {
			repeated = id === last ? 'last' : 'others';
		}

		return 'skip';
	};

	// Of ids that rise by more than one, other servers may have chosen others. A response that repeats events without the last one
	// may have pieces of it in the next.
	const isUnproven = () => isAtJoin && repeated === 'others';

	const judgeAfterHeld = (id: bigint, heldId: bigint): EventVerdict => {
		if (id <= heldId) {
			return 'skip';
		}

		if (id === heldId + 1n) {
			return 'missing';
		}

		isSparse = true;
		numbering.recordSparse(id);
		accept(id);
		return 'release';
	};

	return {
		judge(id) {
			if (held !== undefined) {
				return judgeAfterHeld(id, held);
			}

			if (last === undefined) {
				return pass(id);
			}

			if (id <= last) {
				return skip(id);
			}

			if (id === last + 1n) {
				return isUnproven() && isKnownSparse() ? 'missing' : pass(id);
			}

			if (isUnproven()) {
				return 'missing';
			}

			if (isKnownSparse()) {
				return pass(id);
			}

			held = id;
			return 'hold';
		},
		beginResponse() {
			held = undefined;
			isAtJoin = last !== undefined;
			repeated = 'none';
		},
		endResponse() {
			if (held === undefined) {
				return 'complete';
			}

			// Servers that number by one begin with 0 or 1.
			const isNumberedByOne = first === undefined || first <= 1n;
			if (isAtJoin || isNumberedByOne) {
				return 'missing';
			}

			accept(held);
			return 'complete';
		},
		lastId: () => last,
	};
};

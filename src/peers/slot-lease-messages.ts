import {checkNonNegative, checkString} from './tuple-checks.ts';

/**
What a node holds and wants at one backend server, as sent to the node that issues the server's slots.

Numbers of leases are totals of a session, so that lost, repeated and reordered messages do no harm.
*/
export type SlotRequest = {
	/**
	Identifies one incarnation of the server.
	*/
	readonly incarnationId: string;
	/**
	Number of the session; higher sessions replace lower ones.
	*/
	readonly session: number;
	/**
	Increases with each message of the session.
	*/
	readonly sequence: number;
	/**
	Leases that the node has received in the session.
	*/
	readonly granted: number;
	/**
	Leases that the node has returned in the session.
	*/
	readonly returned: number;
	/**
	Further leases for which requests wait.
	*/
	readonly wanted: number;
	/**
	Priority of the most urgent of these requests; 0 is the most urgent.
	*/
	readonly urgency: number;
	/**
	Requests that the server refused in the session.
	*/
	readonly refusals: number;
	readonly service: string;
	readonly slots: number;
};

/**
What a node may use at one backend server, as sent by the node that issues the server's slots.
*/
export type SlotGrant = {
	readonly incarnationId: string;
	readonly session: number;
	/**
	The last message of the session that the issuer has received.
	*/
	readonly sequence: number;
	/**
	Leases granted in the session so far.
	*/
	readonly granted: number;
	/**
	Whether requests of other nodes wait for the server's slots.
	*/
	readonly isContended: boolean;
};

/**
Requests for slots, from a node to an issuer.
*/
export type SlotRequestMessage = {
	readonly kind: 'slot-requests';
	/**
	Id of the sending node.
	*/
	readonly from: string;
	readonly requests: readonly SlotRequest[];
};

/**
Granted slots, from an issuer to a node.
*/
export type SlotGrantMessage = {
	readonly kind: 'slot-grants';
	/**
	Id of the sending node.
	*/
	readonly from: string;
	readonly grants: readonly SlotGrant[];
};

/**
Messages about slots of backend servers.
*/
export type SlotLeaseMessage = SlotRequestMessage | SlotGrantMessage;

/**
Kinds of these messages.
*/
export const slotLeaseMessageKinds = ['slot-requests', 'slot-grants'] as const;

type Row = readonly unknown[];

/**
Encodes a message as one row per server; each row can be decoded on its own.
*/
export const encodeSlotLeaseRows = (
	message: SlotLeaseMessage,
): readonly Row[] => {
	switch (message.kind) {
		case 'slot-requests': {
			return message.requests.map((each) => [
				each.incarnationId,
				each.session,
				each.sequence,
				each.granted,
				each.returned,
				each.wanted,
				each.urgency,
				each.refusals,
				each.service,
				each.slots,
			]);
		}

		case 'slot-grants': {
			return message.grants.map((each) => [
				each.incarnationId,
				each.session,
				each.sequence,
				each.granted,
				Number(each.isContended),
			]);
		}
	}
};

/**
Decodes rows.

@throws {TypeError} If a row is malformed.
*/
export const decodeSlotLeaseRows = (
	kind: SlotLeaseMessage['kind'],
	from: string,
	rows: readonly Row[],
): SlotLeaseMessage => {
	switch (kind) {
		case 'slot-requests': {
			return {kind, from, requests: rows.map((row) => decodeRequest(row))};
		}

		case 'slot-grants': {
			return {kind, from, grants: rows.map((row) => decodeGrant(row))};
		}
	}
};

const decodeRequest = (row: Row): SlotRequest => {
	const [session, sequence, granted, returned, wanted, urgency, refusals] = row
		.slice(1, 8)
		.map((value) => checkNonNegative(value));
	return {
		incarnationId: checkString(row[0]),
		session: session!,
		sequence: sequence!,
		granted: granted!,
		returned: returned!,
		wanted: wanted!,
		urgency: urgency!,
		refusals: refusals!,
		service: checkString(row[8]),
		slots: checkNonNegative(row[9]),
	};
};

const decodeGrant = (row: Row): SlotGrant => {
	const [session, sequence, granted, contended] = row
		.slice(1, 5)
		.map((value) => checkNonNegative(value));
	return {
		incarnationId: checkString(row[0]),
		session: session!,
		sequence: sequence!,
		granted: granted!,
		isContended: contended === 1,
	};
};

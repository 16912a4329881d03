/**
Lets an issuer with a new disk begin as soon as the others confirm that it may.

Load: a deployment starts, with all disks new, and callers come within seconds. A new
issuer otherwise waits until every list of issuers without it has ceased to hold, since
others may grant its part by an old list. It need not if all that were ever issuers
know the same list, and what they granted by others counts no more.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {askHolder} from '@siskinhub/turns/membership/ask-holder.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {createRoomReader} from './create-room-reader.js';
import {orderQuotaIssuers} from './order-quota-issuers.js';

/** Disks that are registered at the same time are known by then. */
const STABLE_MS = 500;
const ASK_TIMEOUT_MS = 300;

type ConfirmOptions = {
	readonly diskId: string;
	readonly rooms: Pick<ReturnType<typeof createRoomReader>, 'waitingSinceMs' | 'endWait' | 'listKnown' | 'noteKnown'>;
	readonly listDisks: () => readonly Holder[];
	readonly linkTo: (holder: Holder) => PeerLink;
};

/** Asks once; resolves to whether this process waits no longer. */
export const confirmIssuers = async ({diskId, rooms, listDisks, linkTo}: ConfirmOptions): Promise<boolean> => {
	const waitingMs = rooms.waitingSinceMs();
	if (waitingMs === undefined) {
		return true;
	}

	const disks = listDisks();
	const issuers = orderQuotaIssuers(disks).map(holder => holder.diskId);
	const others = rooms.listKnown().filter(id => id !== diskId);
	const holders = others.flatMap(id => disks.filter(holder => holder.diskId === id));
	// One that is not registered any more cannot be asked, and may not know that it is none.
	if (waitingMs < STABLE_MS || !issuers.includes(diskId) || holders.length < others.length) {
		return false;
	}

	const answers = await Promise.all(holders.map(async holder => askHolder(linkTo(holder), holder, {case: 'askIssuer', value: {issuers}}, ASK_TIMEOUT_MS)));
	const states = answers.flatMap(answer => answer.isOk() && answer.value.case === 'issuerState' ? [answer.value.value] : []);
	rooms.noteKnown(states.flatMap(state => state.known));
	const isSame = orderQuotaIssuers(listDisks()).map(holder => holder.diskId).join(' ') === issuers.join(' ');
	if (!isSame || states.length < holders.length || states.some(state => !state.agrees) || rooms.listKnown().length > others.length + 1) {
		return false;
	}

	rooms.endWait();
	return true;
};

/**
Answers the requests of gateways for permits, at a copy holder.
*/
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {createPermitIssuer} from './create-permit-issuer.js';
import {fromWireLimit} from './from-wire-limit.js';
import type {LimitBook} from './limit-book.js';
import {orderIssuers} from './order-issuers.js';
import {toWireLimit} from './to-wire-limit.js';

type PermitServiceOptions = {
	readonly diskId: string;
	readonly limits: LimitBook;
	readonly listDisks: () => readonly Holder[];
	readonly issue: ReturnType<typeof createPermitIssuer>;
	/** Called with each permit that was issued or denied. */
	readonly onIssued: (upstream: string, isGranted: boolean) => void;
};

/** The returned function handles one message; it returns `false` if the message does not ask for a permit. */
export const answerPermitRequests = ({diskId, limits, listDisks, issue, onIssued}: PermitServiceOptions) => {
	/** A disk that is not registered yet comes after all that are. */
	const findPosition = (upstream: string): number => {
		const disks = listDisks();
		const position = orderIssuers(upstream, disks).findIndex(holder => holder.diskId === diskId);
		return position === -1 ? disks.length : position;
	};

	return ({body, reply}: IncomingMessage): boolean => {
		if (body.case !== 'acquirePermit') {
			return false;
		}

		const asked = body.value.limit;
		if (!asked) {
			reply({case: 'refused', value: {}});
			return true;
		}

		const {upstream} = asked;
		limits.merge([fromWireLimit(asked)]);
		const perSecond = limits.get(upstream);
		const known = limits.describe(upstream);
		const permit = perSecond === undefined ? {kind: 'granted'} as const : issue({upstream, perSecond, position: findPosition(upstream)});
		const isGranted = permit.kind === 'granted';
		onIssued(upstream, isGranted);
		reply({case: 'permit', value: {granted: isGranted, waitMs: isGranted ? 0 : Math.ceil(permit.waitMs), limit: known && toWireLimit(known)}});
		return true;
	};
};

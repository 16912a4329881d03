/**
Starts the issuing of grants at a copy holder.
*/
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import {answerGrantQuestions} from './answer-grant-questions.js';
import {confirmIssuers} from './confirm-issuers.js';
import {createGrantIssuer} from './create-grant-issuer.js';
import {createRoomReader} from './create-room-reader.js';
import {deriveGrantTimes} from './grant-times.js';

/** Changes of the list of holders and times without touch are noticed so often. */
const OBSERVE_INTERVAL_MS = 1000;
/** How often a new issuer asks the others whether it may begin. */
const CONFIRM_INTERVAL_MS = 250;
/** A holder whose link is silent for longer has missed a heartbeat. */
const MAX_SILENCE_MS = 1200;

type IssuerOptions = Omit<Parameters<typeof createRoomReader>[0], 'times' | 'isHeard'> & {
	/** Milliseconds in which each process that is in touch knows of a declared change. */
	readonly applyWithinMs: number;
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Ends the observation. */
	readonly signal: AbortSignal;
};

export const startIssuer = ({applyWithinMs, linkTo, signal, ...options}: IssuerOptions) => {
	const times = deriveGrantTimes(options.bounds.windowMs, applyWithinMs);
	const isHeard = (holder: Holder): boolean => {
		const link = linkTo(holder);
		return link.remote()?.dataFolderId === holder.diskId && link.silentForMs() < MAX_SILENCE_MS;
	};

	const rooms = createRoomReader({...options, times, isHeard});
	const timer = setInterval(rooms.observe, OBSERVE_INTERVAL_MS).unref();
	let isAsking = false;
	const confirmTimer = setInterval(async () => {
		rooms.observe();
		if (!isAsking) {
			isAsking = true;
			const isDone = await confirmIssuers({...options, rooms, linkTo});
			isAsking = false;
			if (isDone) {
				clearInterval(confirmTimer);
			}
		}
	}, CONFIRM_INTERVAL_MS).unref();
	signal.addEventListener('abort', () => {
		clearInterval(timer);
		clearInterval(confirmTimer);
	});
	const issuer = createGrantIssuer({
		bounds: options.bounds, grantMs: times.grantMs, now: options.now, readRoom: rooms.read,
	});
	const answerGrants = answerGrantQuestions(issuer);
	return {
		list: issuer.list,
		/** Handles one message; returns `false` if it is none for an issuer. */
		answer(message: IncomingMessage): boolean {
			const {body, reply} = message;
			if (body.case !== 'askIssuer') {
				return answerGrants(message);
			}

			reply({case: 'issuerState', value: {agrees: rooms.agreesWith(body.value.issuers), known: [...rooms.listKnown()]}});
			return true;
		},
	};
};

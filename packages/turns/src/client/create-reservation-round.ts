/**
Asks the holders of a program's replica group to store a reservation, and sums up what
they answer.
*/
import type {TokenUse} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import {shouldReplaceUse} from '../disk/should-replace-use.js';
import {tokenUses} from '../disk/token-uses.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {AskQuorum} from './ask-quorum.js';
import type {AskReservation} from './ask-reservation.js';
import type {TokenReservation} from './token-reservation.js';

type RoundOptions = {
	readonly askQuorum: AskQuorum;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
};

type Reserved = Extract<MessageBody, {case: 'tokensReserved'}>['value'];

/** `uses` are those that one holder answered. */
const hasAll = (uses: readonly TokenUse[], all: readonly TokenUse[]): boolean => {
	const known = new Map(uses.map(use => [use.attempt, use]));
	return all.every(use => !shouldReplaceUse(known.get(use.attempt), use));
};

/** `answers` are by disk; `asked` are all disks that may have received the request. */
const summariseAnswers = ({use, origin}: Parameters<AskReservation>[1], answers: ReadonlyMap<string, Reserved>, asked: ReadonlySet<string>, isQuorum: (disks: ReadonlySet<string>) => boolean): TokenReservation => {
	const uses = new Map([[use.attempt, use]]);
	for (const answer of answers.values()) {
		tokenUses.merge(uses, answer.uses);
	}

	const listDisks = (matches: (answer: Reserved) => boolean): Set<string> => new Set([...answers].filter(([, answer]) => matches(answer)).map(([diskId]) => diskId));
	const all = [...uses.values()];
	const others = all.filter(({attempt}) => attempt !== use.attempt);
	const complete = listDisks(answer => hasAll(answer.uses, all));
	const declined = listDisks(answer => answer.declined);
	return {
		attempt: use.attempt,
		uses,
		complete,
		isComplete: isQuorum(complete),
		mayBeStored: declined.size < asked.size,
		isDeclined: declined.size > 0,
		hasOthersComplete: isQuorum(listDisks(answer => hasAll(answer.uses, others))),
		turns: [...answers.values()].find(({turns}) => turns.length > 0)?.turns ?? [],
		storedOrigin: isQuorum(listDisks(answer => answer.originStored)) ? origin : undefined,
	};
};

export const createReservationRound = ({askQuorum, losses}: RoundOptions): AskReservation => async (place, request, {budget, readTurn, timeoutMs}) => {
	const answers = new Map<string, Reserved>();
	const asked = new Set<string>();
	let isQuorum = (_disks: ReadonlySet<string>): boolean => false;
	const isAnswered = await askQuorum(place, (listVersion, {diskId}) => {
		// The first one asked is near and most likely has the whole chain.
		const isFirst = asked.size === 0;
		asked.add(diskId);
		return {
			case: 'reserveTokens', value: {
				...request, group: place.group, listVersion, budget, readTurn: isFirst ? readTurn : undefined,
			},
		};
	}, 'write', timeoutMs, list => {
		const answered = new Set<string>();
		isQuorum = disks => hasQuorum(list, 'write', disks, losses);
		return ({diskId}, answer) => {
			if (answer.case === 'tokensReserved') {
				answered.add(diskId);
				answers.set(diskId, answer.value);
			}

			return isQuorum(answered) && hasQuorum(list, 'read', answered, losses) ? 'enough' : 'more';
		};
	});
	return isAnswered ? summariseAnswers(request, answers, asked, isQuorum) : undefined;
};

/**
Stores a turn and the tokens that it used when it ends, on the disks of the program's
replica group by quorum.

A write is acknowledged only once a write quorum has it together with all that the
program's data in use consists of: the whole chain before a turn, and what the earlier
attempts of the program have used. All of it is then kept as long as the newest part,
so whatever holders missed while they were away, each disk can decide alone what to
forget. A holder that lacks something is sent it.
*/
import {findGroup} from '../membership/find-group.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {AskQuorum} from './ask-quorum.js';
import type {createTokenReserver} from './create-token-reserver.js';
import type {HolderClient} from './holder-client.js';
import {listEarlierUses} from './list-earlier-uses.js';

type WriterOptions = {
	readonly askQuorum: AskQuorum;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** Milliseconds added to the retention, since hosts' clocks differ. */
	readonly slackMs: number;
	readonly takeReservation: ReturnType<typeof createTokenReserver>['take'];
};

export const createTurnWriter = ({askQuorum, losses, slackMs, takeReservation}: WriterOptions): HolderClient['settle'] => async ({program, attempt, tokens, retentionMs}, turn, timeoutMs) => {
	const group = findGroup(program);
	const expiresAtMs = Date.now() + retentionMs + slackMs;
	const reservation = takeReservation(attempt);
	const turnToStore = turn && {
		id: attempt, previous: turn.previous, input: turn.input, output: turn.output, expiresAtMs,
	};
	const ancestors = (turn?.ancestors ?? []).map(ancestor => ({...ancestor, expiresAtMs}));
	// Disks whose holders have answered that they lack turns of the chain.
	const incomplete = new Set<string>();
	return askQuorum({program, group}, (listVersion, {diskId}) => ({
		case: 'settleTurn', value: {
			group,
			listVersion,
			program,
			use: {attempt, tokens, settled: true},
			earlier: reservation ? listEarlierUses(reservation, diskId) : [],
			expiresAtMs,
			turn: turnToStore,
			ancestors: turn?.isFromOtherGroup === true || incomplete.has(diskId) ? ancestors : [],
			requiresChain: true,
		},
	}), turn ? 'write' : 'write-later', timeoutMs, list => {
		const stored = new Set<string>();
		return ({diskId}, answer) => {
			if (answer.case === 'chainIncomplete' && !incomplete.has(diskId)) {
				incomplete.add(diskId);
				return 'again';
			}

			if (answer.case === 'acknowledged') {
				stored.add(diskId);
			}

			return hasQuorum(list, 'write', stored, losses) ? 'enough' : 'more';
		};
	});
};

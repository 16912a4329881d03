/**
Stores and reads which software began a stream, on the disks of a replica group by
quorum. An attempt that is tried at several versions stores several origins; the
quorums of a write and a later read share a holder, so a reader sees the last one.
*/
import type {StreamOrigin} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {findGroup} from '../membership/find-group.js';
import {hasQuorum} from '../membership/has-quorum.js';
import type {AskQuorum} from './ask-quorum.js';
import {createStreamOrigin} from './create-stream-origin.js';
import type {HolderClient} from './holder-client.js';

type OriginClientOptions = {
	readonly askQuorum: AskQuorum;
	/** Number of disks that may be lost at the same time. */
	readonly losses: number;
	/** Milliseconds added to the retention, since hosts' clocks differ. */
	readonly slackMs: number;
	/** Whether a reservation of the attempt's tokens has stored exactly this origin. */
	readonly isStoredWithTokens: (origin: Pick<StreamOrigin, 'attempt' | 'service' | 'version' | 'sequence'>) => boolean;
};

export const createOriginClient = ({askQuorum, losses, slackMs, isStoredWithTokens}: OriginClientOptions): Pick<HolderClient, 'recordOrigin' | 'readOrigin'> => {
	const recordOrigin: HolderClient['recordOrigin'] = async ({program, ...stream}, timeoutMs) => {
		if (stream.takenUpBy === undefined && isStoredWithTokens(stream)) {
			return true;
		}

		const group = findGroup(program);
		const origin = createStreamOrigin(stream, slackMs);
		return askQuorum({program, group}, listVersion => ({case: 'recordOrigin', value: {group, listVersion, origin}}), 'write', timeoutMs, list => {
			const stored = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'acknowledged') {
					stored.add(diskId);
				}

				return hasQuorum(list, 'write', stored, losses) ? 'enough' : 'more';
			};
		});
	};

	const readOrigin: HolderClient['readOrigin'] = async ({program, attempt}, timeoutMs) => {
		const group = findGroup(program);
		let latest: StreamOrigin | undefined;
		// Two attempts that took the stream up at the same time; at most one of them has a write quorum.
		let isContested = false;
		const isAnswered = await askQuorum({program, group}, listVersion => ({case: 'readOrigin', value: {group, listVersion, attempt}}), 'write', timeoutMs, list => {
			const answered = new Set<string>();
			return ({diskId}, answer) => {
				if (answer.case === 'origin') {
					answered.add(diskId);
					const {origin} = answer.value;
					if (origin && origin.sequence > (latest?.sequence ?? -1)) {
						latest = origin;
						isContested = false;
					} else if (origin?.sequence === latest?.sequence && origin?.takenUpBy !== latest?.takenUpBy) {
						isContested = true;
					}
				}

				return hasQuorum(list, 'read', answered, losses) ? 'enough' : 'more';
			};
		});
		if (!isAnswered || isContested) {
			return {kind: 'unavailable'};
		}

		if (!latest) {
			return {kind: 'unknown'};
		}

		const {service, version, sequence, takenUpBy} = latest;
		return {
			kind: 'found', origin: {
				service, version, sequence, takenUpBy,
			},
		};
	};

	return {recordOrigin, readOrigin};
};

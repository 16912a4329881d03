/**
Starts, shows, restores and ends the programs of a shard.
*/
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import {verifyChain} from '@siskinhub/core/history/verify-chain.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {StartProgram} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {decodeTurn} from '../history/decode-turn.js';
import {createProgramEnder} from './create-program-ender.js';
import {findProgram} from './find-program.js';
import type {ProgramRegistry} from './program-registry.js';
import type {ProgramService} from './program-service.js';
import {refuse} from './refuse.js';
import type {ShardOwner} from './shard-owner.js';
import type {ShardOwnerOptions} from './shard-owner-options.js';
import {createProgramView} from './create-program-view.js';

type ServiceOptions = ShardOwnerOptions & {
	readonly registry: ProgramRegistry;
	/** False once this owner leaves or another one has taken the shard over. */
	readonly isOwner: () => boolean;
};

const createHeader = (message: StartProgram): ProgramHeader => ({
	program: message.program as ProgramId,
	workspace: message.workspace as WorkspaceId,
	kind: message.kind,
	deployment: message.deployment,
	...(message.parent !== '' && {parent: message.parent as ProgramId}),
	startedAt: Date.now(),
});

/** Creates the service for one shard. */
export const createProgramService = (options: ServiceOptions): ProgramService => {
	const {shard, epoch, shardLog, holders, histories, registry, isOwner} = options;
	const place = {shard, epoch, holders};
	const notOwner: MessageBodyInit = {case: 'notOwner', value: {shard}};
	const ender = createProgramEnder(options);

	const checkParent = async (header: ProgramHeader): Promise<MessageBodyInit | undefined> => {
		if (!header.parent) {
			return undefined;
		}

		const parent = await registry.find(header.parent);
		if (parent.isErr()) {
			return refuse(parent.error);
		}

		if (parent.value.header.workspace !== header.workspace) {
			return refuse({code: 'wrong-workspace', message: 'The parent program belongs to another workspace.'});
		}

		if (parent.value.ended) {
			return refuse({code: 'program-ended', message: 'The parent program has ended.'});
		}

		parent.value.children.add(header.program);
		return undefined;
	};

	const startProgram: ShardOwner['startProgram'] = async message => {
		if (!isOwner()) {
			return notOwner;
		}

		const header = createHeader(message);
		const limits = options.limitsOf(header);
		if (limits.isErr()) {
			return refuse(limits.error);
		}

		const refusal = await checkParent(header);
		if (refusal) {
			return refusal;
		}

		const written = await histories.writeHeader(place, header);
		if (written.isOk()) {
			return createProgramView(registry.add(header), epoch, holders);
		}

		// Holders refuse an outdated epoch; the log shows whether that was the reason.
		await shardLog.refresh();
		return isOwner() ? refuse(written.error) : notOwner;
	};

	return {
		startProgram,
		async getProgram(message) {
			const found = await findProgram(registry, message);
			return found.isErr() ? refuse(found.error) : createProgramView(found.value, epoch, holders);
		},
		async endProgram(message) {
			const found = await findProgram(registry, message);
			if (found.isErr()) {
				return refuse(found.error);
			}

			const ended = await ender.end(found.value);
			return ended.isErr() ? refuse(ended.error) : createProgramView(found.value, epoch, holders);
		},
		async restore(message) {
			const found = await findProgram(registry, message);
			if (found.isErr()) {
				return refuse(found.error);
			}

			const {header, digest, ended} = found.value;
			const turns = message.turns.map(turn => decodeTurn(turn));
			const verified = verifyChain(header, turns);
			if (verified.isErr() || verified.value !== digest) {
				return refuse({code: 'history-mismatch', message: `The history that came with the call is not the program's, whose digest is ${digest || '(none)'}.`});
			}

			const repaired = await histories.repair(place, {
				header, turns, ended, epoch,
			});
			return repaired.isErr() ? refuse(repaired.error) : {case: 'acknowledged', value: {}};
		},
		async listAlive(programs) {
			const alive: string[] = [];
			for (const id of programs) {
				const found = await registry.find(id as ProgramId);
				const isGone = found.isErr() ? found.error.code === 'unknown-program' : found.value.ended;
				if (!isGone) {
					alive.push(id);
				}
			}

			return alive;
		},
		enforceTimeLimits: ender.enforceTimeLimits,
	};
};

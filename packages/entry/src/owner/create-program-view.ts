/**
Builds the reply that describes a program to entries and callers.
*/
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';

export const createProgramView = (program: OpenProgram, epoch: Epoch, holders: readonly HistoryHolder[]): BodyInit => ({
	case: 'programView',
	value: {
		...program.header,
		ended: program.ended,
		nextTurn: program.nextTurn,
		spentTokens: BigInt(program.spentTokens),
		digest: program.digest,
		holders: [...holders],
		epoch: BigInt(epoch),
	},
});

/**
Builds the reply that describes a program to entries and callers.
*/
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {HistoryHolder} from '@siskinhub/core/owner/history-holder.js';
import type {Epoch} from '@siskinhub/core/ids/epoch.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';

export const createProgramView = (program: OpenProgram, epoch: Epoch, holders: readonly HistoryHolder[]): MessageBodyInit => ({
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

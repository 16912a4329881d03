/**
Names the kind of a request to a copy holder from the request and its answer.
*/
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {CopyRequestKind} from './copy-request-kind.js';

const KIND_BY_ANSWER: Partial<Record<MessageBodyInit['case'] & string, CopyRequestKind>> = {
	refused: 'refused',
	wrongHolders: 'wrong-holders',
	chainIncomplete: 'settle-incomplete',
};

const classifyServed = (request: MessageBody, answer: MessageBodyInit): CopyRequestKind => {
	switch (request.case) {
		case 'reserveTokens': {
			return answer.case === 'tokensReserved' && answer.value.declined ? 'reserve-declined' : (request.value.earlier.length > 0 ? 'reserve-complete' : 'reserve');
		}

		case 'settleTurn': {
			return request.value.ancestors.length > 0 ? 'settle-chain' : 'settle';
		}

		case 'readTurns': {
			return answer.case === 'turns' && answer.value.turns?.length === 0 ? 'read-missing' : 'read';
		}

		case 'findTurn': {
			return 'find';
		}

		case 'recordOrigin': {
			return 'record-origin';
		}

		case 'readOrigin': {
			return 'read-origin';
		}

		case 'readOutput': {
			return 'read-output';
		}

		default: {
			return 'copying';
		}
	}
};

export const classifyCopyRequest = (request: MessageBody, answer: MessageBodyInit): CopyRequestKind => KIND_BY_ANSWER[answer.case ?? ''] ?? classifyServed(request, answer);

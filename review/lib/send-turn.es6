/**
Sends one client attempt of a turn of a program.
*/
import {sendRequest} from './send-request.es6';

const DEADLINE_MS = 5000;
const HOST = 'trenza.example';

/** `previous` is the id of the turn that this one continues; `id` is that of the attempt, `resumes` that of the attempt whose stream this one takes up. */
export const sendTurn = async ({gateway, route, id, program, previous, lastEventId, resumes, body, tokens = '600,60', budget = 100_000, finishInMs = 120_000, onText}) => sendRequest({
	address: gateway.settings.listenAddresses.frontend, host: HOST, path: `/${route}/turn`, deadlineMs: DEADLINE_MS, body, onText, headers: {
		'x-request-id': id,
		'x-program-id': program,
		'x-session-id': program,
		'x-finish-deadline': Math.round(finishInMs),
		'x-token-budget': budget,
		'x-model': 'm',
		'x-token-usage': tokens,
		'x-prompt-prefix': `${program}:600`,
		...(previous !== undefined && {'x-previous-turn': previous}),
		...(lastEventId !== undefined && {'last-event-id': lastEventId}),
		...(resumes !== undefined && {resumes}),
	},
});

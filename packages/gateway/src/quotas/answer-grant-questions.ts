/**
Answers the questions of gateways for grants, at a copy holder.
*/
import type {IncomingMessage} from '@siskinhub/peer/incoming-message.js';
import type {createGrantIssuer} from './create-grant-issuer.js';
import {fromWireAsk} from './from-wire-ask.js';

type GrantServiceOptions = {
	readonly ask: ReturnType<typeof createGrantIssuer>['ask'];
};

/** The returned function handles one message; it returns `false` if the message does not ask for grants. */
export const answerGrantQuestions = ({ask}: GrantServiceOptions) => ({body, link, reply}: IncomingMessage): boolean => {
	if (body.case !== 'askGrants') {
		return false;
	}

	// Differs for each start of the gateway, which begins to count at 0.
	const gateway = link.remote()?.instance;
	const asks = body.value.asks.map(wire => fromWireAsk(wire));
	const granted = gateway === undefined ? undefined : ask(gateway, body.value.sequence, asks);
	if (!granted) {
		reply({case: 'refused', value: {message: 'the question is older than one that was answered, or its sender has not said who it is'}});
		return true;
	}

	reply({case: 'grants', value: {granted: granted.map(({total, waitMs}) => ({total, waitMs: Math.ceil(waitMs)}))}});
	return true;
};

/**
Records the answer to a peer's message as one hop.
*/
import type {Tracer} from '@siskinhub/observe/tracer.js';
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';

type TracedMessage = {readonly body: Body; readonly traceparent: string};

/** Answers within a span if the message came with a trace; it ends with `ok` or the code of the refusal. */
export const traceAnswer = async (tracer: Tracer, {body, traceparent}: TracedMessage, answer: (body: Body) => Promise<BodyInit>): Promise<BodyInit> => {
	if (traceparent === '') {
		return answer(body);
	}

	const span = tracer.startSpan(`entry.${body.case}`, {traceparent});
	try {
		const answered = await answer(body);
		span.end(answered.case === 'refused' ? answered.value.code ?? 'refused' : 'ok');
		return answered;
	} catch (error) {
		span.end('failed');
		throw error;
	}
};

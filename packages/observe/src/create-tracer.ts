/**
Traces. OpenTelemetry is loaded only where the settings ask for traces, because
it takes several megabytes of memory.
*/
import type {Tracer} from './tracer.js';
import type {TracerOptions} from './tracer-options.js';
import type {TracesConfig} from './traces-config.js';

/** Passes the context on, so that hops on either side stay one trace. */
const NO_TRACER: Tracer = {
	startSpan: (_name, options) => ({
		traceparent: options?.traceparent,
		end: () => undefined,
	}),
	async close() {
		return undefined;
	},
};

/** Builds the tracer; without `traces` in the settings it records nothing. */
export const createTracer = async ({traces, ...options}: TracerOptions<TracesConfig | undefined>): Promise<Tracer> => {
	if (!traces) {
		return NO_TRACER;
	}

	const {createRecordingTracer} = await import('./create-recording-tracer.js');
	return createRecordingTracer({traces, ...options});
};

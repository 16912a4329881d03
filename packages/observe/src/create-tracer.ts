/**
Creates the tracer. OpenTelemetry is loaded only if the settings have a section
for traces, because it takes several megabytes of memory.
*/
import type {Tracer} from './tracer.js';
import type {TracerOptions} from './tracer-options.js';
import type {TracesConfig} from './traces-config.js';

/** Records nothing, but passes the trace context on so that the hops before and after this process belong to one trace. */
const NOOP_TRACER: Tracer = {
	startSpan: (_name, options) => ({
		traceparent: options?.traceparent,
		end: () => undefined,
	}),
	async close() {
		return undefined;
	},
};

/** Returns a tracer that records spans, or one that records nothing if `traces` is absent. */
export const createTracer = async ({traces, ...options}: TracerOptions<TracesConfig | undefined>): Promise<Tracer> => {
	if (!traces) {
		return NOOP_TRACER;
	}

	const {createRecordingTracer} = await import('./create-recording-tracer.js');
	return createRecordingTracer({traces, ...options});
};

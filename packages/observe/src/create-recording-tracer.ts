/**
Creates a tracer that records spans with OpenTelemetry and passes their context
on as a W3C `traceparent`.
*/
import {setTimeout as delay} from 'node:timers/promises';
import {
	defaultTextMapGetter, defaultTextMapSetter, ROOT_CONTEXT, SpanStatusCode, trace, type Context, type Span as RecordedSpan,
} from '@opentelemetry/api';
import {setGlobalErrorHandler, W3CTraceContextPropagator} from '@opentelemetry/core';
import {resourceFromAttributes} from '@opentelemetry/resources';
import {NodeTracerProvider} from '@opentelemetry/sdk-trace-node';
import {createSpanProcessor} from './create-span-processor.js';
import type {Span} from './span.js';
import type {Tracer} from './tracer.js';
import type {TracerOptions} from './tracer-options.js';
import type {TracesConfig} from './traces-config.js';

const CLOSE_TIMEOUT_MS = 3000;
const OUTCOME_OK = 'ok';

const propagator = new W3CTraceContextPropagator();

const readContext = (traceparent: string | undefined): Context =>
	traceparent === undefined ? ROOT_CONTEXT : propagator.extract(ROOT_CONTEXT, {traceparent}, defaultTextMapGetter);

const writeContext = (context: Context): string | undefined => {
	const carrier: {traceparent?: string} = {};
	propagator.inject(context, carrier, defaultTextMapSetter);
	return carrier.traceparent;
};

const endSpan = (span: RecordedSpan, outcome: string): void => {
	span.setAttribute('outcome', outcome);
	span.setStatus(outcome === OUTCOME_OK ? {code: SpanStatusCode.OK} : {code: SpanStatusCode.ERROR, message: outcome});
	span.end();
};

/** Creates a tracer that records every span. */
export const createRecordingTracer = ({traces, service, host, dataCentre, log}: TracerOptions<TracesConfig>): Tracer => {
	setGlobalErrorHandler(error => {
		log.warn('failed to export spans', {error});
	});
	const provider = new NodeTracerProvider({
		resource: resourceFromAttributes({'service.name': service, 'host.id': host, 'siskinhub.data_centre': dataCentre}),
		spanProcessors: [createSpanProcessor(traces, log)],
	});
	const tracer = provider.getTracer(service);
	return {
		startSpan(name, options): Span {
			const parent = readContext(options?.traceparent);
			const span = tracer.startSpan(name, {attributes: options?.attributes}, parent);
			return {
				traceparent: writeContext(trace.setSpan(parent, span)),
				end(outcome) {
					endSpan(span, outcome);
				},
			};
		},
		async close() {
			try {
				await Promise.race([provider.shutdown(), delay(CLOSE_TIMEOUT_MS, undefined, {ref: false})]);
			} catch (error) {
				log.warn('failed to export spans', {error});
			}
		},
	};
};

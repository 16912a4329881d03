/**
Creates the span processor, which exports finished spans.
*/
import {OTLPTraceExporter} from '@opentelemetry/exporter-trace-otlp-http';
import {BatchSpanProcessor, SimpleSpanProcessor, type SpanProcessor} from '@opentelemetry/sdk-trace-base';
import {createLogSpanExporter} from './create-log-span-exporter.js';
import type {Logger} from './logger.js';
import type {TracesConfig} from './traces-config.js';

const EXPORT_TIMEOUT_MS = 2000;
const OTLP_TRACES_PATH = '/v1/traces';

/** Exports spans to a collector in batches, or to the log one by one. */
export const createSpanProcessor = (traces: TracesConfig, log: Logger): SpanProcessor => {
	if (traces.kind === 'log') {
		return new SimpleSpanProcessor(createLogSpanExporter(log));
	}

	const exporter = new OTLPTraceExporter({url: `${traces.address}${OTLP_TRACES_PATH}`, timeoutMillis: EXPORT_TIMEOUT_MS});
	return new BatchSpanProcessor(exporter, {exportTimeoutMillis: EXPORT_TIMEOUT_MS});
};

/**
Exports spans to the log.
*/
import {ExportResultCode, hrTimeToMilliseconds} from '@opentelemetry/core';
import type {ReadableSpan, SpanExporter} from '@opentelemetry/sdk-trace-base';
import type {LogFields} from './log-fields.js';
import type {Logger} from './logger.js';

const describeSpan = (span: ReadableSpan): LogFields => ({
	span: span.name,
	traceId: span.spanContext().traceId,
	spanId: span.spanContext().spanId,
	parentSpanId: span.parentSpanContext?.spanId,
	startMs: hrTimeToMilliseconds(span.startTime),
	durationMs: hrTimeToMilliseconds(span.duration),
	...span.attributes,
});

/** Writes each span as one line with the message `span`, at level info. */
export const createLogSpanExporter = (log: Logger): SpanExporter => ({
	export(spans, resultCallback) {
		for (const span of spans) {
			log.info('span', describeSpan(span));
		}

		resultCallback({code: ExportResultCode.SUCCESS});
	},
	async shutdown() {
		return undefined;
	},
});

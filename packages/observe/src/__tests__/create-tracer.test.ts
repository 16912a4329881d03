import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import type {AddressInfo} from 'node:net';
import {json} from 'node:stream/consumers';
import {expect, test} from 'vitest';
import {createLogger} from '../create-logger.js';
import {createTracer} from '../create-tracer.js';
import type {TracesConfig} from '../traces-config.js';

const INCOMING = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01';

const createTestTracer = async (traces: TracesConfig | undefined) => {
	const lines: string[] = [];
	const log = createLogger({level: 'info', host: 'entry-1', write: line => lines.push(line)});
	const tracer = await createTracer({
		traces, log, service: 'siskinhub-entry', host: 'entry-1', dataCentre: 'delta-a',
	});
	return {tracer, lines};
};

test('a span continues the incoming trace and is written to the log', async () => {
	const {tracer, lines} = await createTestTracer({kind: 'log'});
	const span = tracer.startSpan('entry.call', {traceparent: INCOMING, attributes: {requestId: 'r'}});
	const childSpan = tracer.startSpan('sidecar.run', {traceparent: span.traceparent});
	childSpan.end('ok');
	span.end('not-run');
	await tracer.close();
	const [inner, outer] = lines.map(line => JSON.parse(line) as Record<string, string>);
	expect(outer).toMatchObject({
		msg: 'span', span: 'entry.call', parentSpanId: 'b7ad6b7169203331', requestId: 'r', outcome: 'not-run',
	});
	expect(inner).toMatchObject({span: 'sidecar.run', parentSpanId: outer?.spanId, outcome: 'ok'});
	expect([inner?.traceId, outer?.traceId]).toEqual(['0af7651916cd43dd8448eb211c80319c', '0af7651916cd43dd8448eb211c80319c']);
});

test.each([undefined, '', 'nonsense', '00-00000000000000000000000000000000-b7ad6b7169203331-01'])('%j starts a new trace', async traceparent => {
	const {tracer} = await createTestTracer({kind: 'log'});
	expect(tracer.startSpan('entry.call', {traceparent}).traceparent).toMatch(/^00-[\da-f]{32}-[\da-f]{16}-01$/v);
});

test('without settings the trace context is passed on and nothing is recorded', async () => {
	const {tracer, lines} = await createTestTracer(undefined);
	const span = tracer.startSpan('entry.call', {traceparent: INCOMING});
	span.end('ok');
	expect(span.traceparent).toBe(INCOMING);
	expect(lines).toEqual([]);
});

test('spans reach a collector over OTLP/HTTP', async () => {
	const bodies: Array<Promise<unknown>> = [];
	const server = createServer((req, res) => {
		bodies.push(json(req));
		res.setHeader('content-type', 'application/json').end('{}');
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {tracer} = await createTestTracer({kind: 'otlp', address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`});
	const request = once(server, 'request') as Promise<[IncomingMessage]>;
	tracer.startSpan('entry.call').end('ok');
	await tracer.close();
	const [req] = await request;
	const body = JSON.stringify(await bodies[0]);
	server.closeAllConnections();
	server.close();
	expect(req.url).toBe('/v1/traces');
	expect(body).toContain('"name":"entry.call"');
	expect(body).toContain('siskinhub.data_centre');
});

test('an unreachable collector delays `close` by a few seconds at most', async () => {
	const {tracer} = await createTestTracer({kind: 'otlp', address: 'http://127.0.0.1:1'});
	tracer.startSpan('entry.call').end('ok');
	await expect(tracer.close()).resolves.toBeUndefined();
}, 5000);

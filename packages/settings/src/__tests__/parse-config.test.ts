import {fc, test} from '@fast-check/vitest';
import {expect} from 'vitest';
import {EntrySettingsSchema} from '../entry-settings-schema.js';
import {formatConfigError} from '../format-config-error.js';
import {parseConfig} from '../parse-config.js';
import {resolveEntryConfig} from '../resolve-entry-config.js';
import {resolveSidecarConfig} from '../resolve-sidecar-config.js';
import {SidecarSettingsSchema} from '../sidecar-settings-schema.js';

const ENTRY = `host: entry-1
dataCentre: planta-norte
http: {ip: 127.0.0.1, port: 7000}
peer:
  ip: 127.0.0.1
  port: 7100
platform:
  address: http://127.0.0.1:2379
`;

const listErrors = (text: string): readonly string[] => {
	const result = parseConfig('entry.yaml', text, EntrySettingsSchema);
	return result.isErr() ? result.error.map(error => formatConfigError(error)) : [];
};

test('settings that the file does not give take their defaults', () => {
	const cfg = resolveEntryConfig(parseConfig('entry.yaml', ENTRY, EntrySettingsSchema)._unsafeUnwrap());
	expect(cfg).toMatchObject({
		region: 'planta-norte',
		peer: {advertisedAddress: 'http://127.0.0.1:7100'},
		shards: 16,
		limits: {maxBodyBytes: 8_388_608, defaultDeadlineMs: 30_000},
		lease: {ttlMs: 10_000, renewEveryMs: 3000},
		heartbeat: {intervalMs: 1000, silenceMs: 4000},
		commitWindowMs: 100,
		gracefulStopMs: 60_000,
		chunkGatherMs: 5,
		log: {level: 'info'},
	});
	expect(cfg.traces).toBeUndefined();
	expect(cfg.metrics).toBeUndefined();
});

test('settings of a sidecar are parsed and resolved', () => {
	const text = `host: s1
dataCentre: delta-a
peer: {ip: '::1', port: 7200}
upstream: {id: repair-1, kind: model, target: repair-agents, address: 'http://[::1]:8000', slots: 4}
traces: {toLog: true}
`;
	const cfg = resolveSidecarConfig(parseConfig('s.yaml', text, SidecarSettingsSchema)._unsafeUnwrap());
	expect(cfg).toMatchObject({
		peer: {advertisedAddress: 'http://[::1]:7200'},
		upstream: {checksFencingNumbers: false},
		traces: {kind: 'log'},
		recordRetention: {maxRequests: 20_000},
	});
});

test('all errors are reported together, each with its line', () => {
	expect(listErrors(`host: entry 1
dataCentre: planta-norte
http: {ip: localhost, port: 70000}
peer:
  ip: 0.0.0.0
  port: 7100
platform:
  address: http://platform.example:2379
  retries: 3
lease: {ttlMs: 5000}
shards: 1.5
verbose: true
`)).toEqual([
		'entry.yaml:1: host: expected a name of 1 to 63 letters, digits, dots, hyphens and underscores that begins with a letter or digit, found "entry 1"',
		'entry.yaml:3: http.ip: expected an IP address such as 10.0.0.7, not a host name, found "localhost"',
		'entry.yaml:3: http.port: expected a whole number from 1 to 65535, found 70000',
		'entry.yaml:4: peer.advertisedAddress: expected the address that peers connect to, as http://IP:PORT, because `ip` stands for every interface, found nothing',
		'entry.yaml:8: platform.address: expected an address of the form http://IP:PORT with an IP address, such as http://10.0.0.7:7100, and no path, found "http://platform.example:2379"',
		'entry.yaml:9: platform.retries: expected one of the keys address, timeoutMs, found the unknown key retries',
		'entry.yaml:10: lease.renewEveryMs: expected at most half of lease.ttlMs (the default is 3000), found nothing',
		'entry.yaml:11: shards: expected a whole number from 1 to 65536, found 1.5',
		expect.stringMatching(/^entry\.yaml:12: verbose: expected one of the keys host, .*, found the unknown key verbose$/v),
	]);
});

test('each missing setting is reported', () => {
	expect(listErrors('').map(line => line.split(':')[2]?.trim())).toEqual(['host', 'dataCentre', 'http', 'peer', 'platform']);
});

test.each([
	['host: [', /^entry\.yaml:\d+: expected valid YAML, found an error: /v],
	['host: a\nhost: b\n', /^entry\.yaml:2: expected valid YAML, found an error: Map keys must be unique$/v],
	['- a\n', /^entry\.yaml:1: expected a mapping with the keys host, /v],
	['a: *b\n', /^entry\.yaml:1: expected /v],
])('%j is rejected', (text, pattern) => {
	expect(listErrors(text)[0]).toMatch(pattern);
});

test.each([
	['traces: {}', 'traces'],
	['traces: {toLog: true, otlpAddress: http://127.0.0.1:4318}', 'traces'],
	['heartbeat: {intervalMs: 3000}', 'heartbeat.silenceMs'],
	['lease: {ttlMs: 10500}', 'lease.ttlMs'],
	['metrics: {}', 'metrics.statsd'],
	['log: {level: loud}', 'log.level'],
	['dataFolder: ""', 'dataFolder'],
	['limits: 4', 'limits'],
])('%s is reported as an error of %s', (line, key) => {
	const result = parseConfig('entry.yaml', `${ENTRY}${line}\n`, EntrySettingsSchema);
	expect(result._unsafeUnwrapErr().map(error => [error.line, error.key])).toEqual([[9, key]]);
});

test.prop([fc.string()])('no text makes the parser throw', text => {
	for (const error of listErrors(text)) {
		expect(error).toMatch(/^entry\.yaml:\d+: /v);
	}
});

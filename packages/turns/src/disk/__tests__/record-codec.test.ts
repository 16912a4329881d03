/**
Guards the fast restart: every line is decoded, but the input and output of a
turn only when they are read.
*/
import {Buffer} from 'node:buffer';
import {create, toBinary} from '@bufbuild/protobuf';
import {encodeEntry} from '@siskinhub/history/log/encode-entry.js';
import {RecordSchema} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import {expect, it} from 'vitest';
import {recordCodec} from '../record-codec.js';

const turn = create(RecordSchema, {
	fact: {
		case: 'turn', value: {
			id: 't2', previous: 't1', input: Buffer.from('in\t\n'), output: Buffer.from([0, 255, 10]), expiresAtMs: 1_796_375_983_600.5,
		},
	},
});
const use = create(RecordSchema, {fact: {case: 'use', value: {program: 'p', use: {attempt: 't2', tokens: 40, settled: true}, expiresAtMs: 5}}});
const list = create(RecordSchema, {fact: {case: 'list', value: {version: 3}}});

const decode = (line: Uint8Array) => recordCodec.decode(line.subarray(0, -1));

it.each([turn, use, list])('decodes $fact.case unchanged, and the result can be encoded again', record => {
	const decoded = decode(recordCodec.encode(record))!;
	expect(decoded.fact.case).toBe(record.fact.case);
	expect(toBinary(RecordSchema, decoded)).toEqual(toBinary(RecordSchema, record));
	expect(decode(recordCodec.encode(decoded))).toBeDefined();
});

it('keeps the extended expiry of a turn that is encoded again', () => {
	const decoded = decode(recordCodec.encode(turn))!;
	if (decoded.fact.case === 'turn') {
		decoded.fact.value.expiresAtMs = 9;
	}

	expect(decode(recordCodec.encode(decoded))!.fact.value).toMatchObject({id: 't2', expiresAtMs: 9});
});

it('does not decode the input and output of a turn before they are read', () => {
	const {fact} = decode(encodeEntry({
		kind: 'turn', id: 't3', previous: '', expiresAtMs: 5,
	}, {notBase64: true}))!;
	expect(fact).toMatchObject({case: 'turn', value: {id: 't3', previous: '', expiresAtMs: 5}});
	expect(() => fact.case === 'turn' && fact.value.input).toThrow();
});

it('decodes turns stored as whole records, the format of earlier versions', () => {
	const line = encodeEntry({kind: 'fact'}, Buffer.from(toBinary(RecordSchema, turn)).toString('base64'));
	expect(toBinary(RecordSchema, decode(line)!)).toEqual(toBinary(RecordSchema, turn));
});

it.each([
	['a wrong checksum', (line: Uint8Array) => line.with(3, line[3] === 0x30 ? 0x31 : 0x30)],
	['a checksum in capitals', (line: Uint8Array) => line.with(0, 0x47)],
	['no space after the checksum', (line: Uint8Array) => line.with(8, 0x30)],
	['a changed byte', (line: Uint8Array) => line.with(20, line[20]! + 1)],
	['a missing end', (line: Uint8Array) => line.subarray(0, -5)],
	['nothing but a checksum', (line: Uint8Array) => line.subarray(0, 10)],
	['nothing', () => new Uint8Array()],
])('returns undefined for a line with %s', (_name, damage) => {
	expect(decode(damage(recordCodec.encode(use)))).toBeUndefined();
});

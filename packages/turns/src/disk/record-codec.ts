/**
Encodes records as lines of the log and decodes them.

Decoding is fast for the case that all holders restart at the same time: each
reads ten thousand records on a fraction of a core while every turn waits for
them. So a line starts with what the index needs, and the input and output of a
turn, which are rarely read again, are decoded when they are accessed.
*/
import {Buffer} from 'node:buffer';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import {decodeEntry} from '@siskinhub/history/log/decode-entry.js';
import {encodeEntry} from '@siskinhub/history/log/encode-entry.js';
import {
	KeptTurnSchema, RecordSchema, type KeptTurn, type ProgramUse, type Record as WireRecord,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type UseMeta = {readonly kind: 'use'; readonly group?: number; readonly program: string; readonly attempt: string; readonly tokens: number; readonly settled: boolean; readonly expiresAtMs: number};
/** The body of the line is the whole `KeptTurn` message. */
type TurnMeta = {readonly kind: 'turn'; readonly group?: number; readonly id: string; readonly previous: string; readonly expiresAtMs: number};
/** With `fact` the body of the line is a whole `Record` message. */
type LineMeta = {readonly kind: 'fact'} | UseMeta | TurnMeta;

const toBase64 = (bytes: Uint8Array): string => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('base64');
const fromBase64 = (text: unknown): Uint8Array => Buffer.from(text as string, 'base64');

/** Lines without a group were written before there were groups. */
const toRecord = (fact: WireRecord['fact'], group = 0): WireRecord => ({$typeName: 'siskinhub.peer.v1.Record', fact, group});

const toUse = ({program, attempt, tokens, settled, expiresAtMs}: UseMeta): ProgramUse => ({
	$typeName: 'siskinhub.peer.v1.ProgramUse',
	program,
	use: {
		$typeName: 'siskinhub.peer.v1.TokenUse', attempt, tokens, settled,
	},
	expiresAtMs,
});

const toTurn = ({id, previous, expiresAtMs}: TurnMeta, readBody: () => unknown): KeptTurn => {
	// Not kept alive: a compaction reads every turn once, and all of them would fill the memory.
	let decoded: WeakRef<KeptTurn> | undefined;
	const decode = (): KeptTurn => {
		const turn = decoded?.deref() ?? fromBinary(KeptTurnSchema, fromBase64(readBody()));
		decoded = new WeakRef(turn);
		return turn;
	};

	return {
		$typeName: 'siskinhub.peer.v1.KeptTurn',
		id,
		previous,
		expiresAtMs,
		get input() {
			return decode().input;
		},
		get output() {
			return decode().output;
		},
	};
};

/** Each record is one line. */
export const recordCodec = {
	encode(record: WireRecord): Uint8Array {
		const {fact, group} = record;
		if (fact.case === 'use' && fact.value.use) {
			const {program, use: {attempt, tokens, settled}, expiresAtMs} = fact.value;
			return encodeEntry({
				kind: 'use', group, program, attempt, tokens, settled, expiresAtMs,
			} satisfies LineMeta);
		}

		if (fact.case === 'turn') {
			const {id, previous, expiresAtMs} = fact.value;
			return encodeEntry({
				kind: 'turn', group, id, previous, expiresAtMs,
			} satisfies LineMeta, toBase64(toBinary(KeptTurnSchema, fact.value)));
		}

		return encodeEntry({kind: 'fact'} satisfies LineMeta, toBase64(toBinary(RecordSchema, record)));
	},
	/** `line` has no line break. Returns `undefined` if the line does not match its checksum. */
	decode(line: Uint8Array): WireRecord | undefined {
		const entry = decodeEntry<LineMeta>(line);
		if (!entry) {
			return undefined;
		}

		const {meta, readBody} = entry;
		switch (meta.kind) {
			case 'use': {
				return toRecord({case: 'use', value: toUse(meta)}, meta.group);
			}

			case 'turn': {
				return toRecord({case: 'turn', value: toTurn(meta, readBody)}, meta.group);
			}

			case 'fact': {
				return fromBinary(RecordSchema, fromBase64(readBody()));
			}
		}
	},
};

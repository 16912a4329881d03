/**
Facts as lines of the log.

Pattern of load: all holders come back at once, each reads ten thousand facts on
a fraction of a core, and every turn waits for them. So a line tells in its first
part what the index asks for, and the texts of a turn, which few callers ask for
again, are decoded when they are.
*/
import {Buffer} from 'node:buffer';
import {fromBinary, toBinary} from '@bufbuild/protobuf';
import {decodeEntry} from '@siskinhub/history/log/decode-entry.js';
import {encodeEntry} from '@siskinhub/history/log/encode-entry.js';
import {
	KeptTurnSchema, RecordSchema, type KeptTurn, type ProgramUse, type Record as WireRecord,
} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type UseMeta = {readonly kind: 'use'; readonly program: string; readonly attempt: string; readonly tokens: number; readonly settled: boolean; readonly expiresAtMs: number};
/** The body is the whole message. */
type TurnMeta = {readonly kind: 'turn'; readonly id: string; readonly previous: string; readonly expiresAtMs: number};
/** The body is a whole record. */
type LineMeta = {readonly kind: 'fact'} | UseMeta | TurnMeta;

const toBase64 = (bytes: Uint8Array): string => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('base64');
const fromBase64 = (text: unknown): Uint8Array => Buffer.from(text as string, 'base64');

const toRecord = (fact: WireRecord['fact']): WireRecord => ({$typeName: 'siskinhub.peer.v1.Record', fact});

const toUse = ({program, attempt, tokens, settled, expiresAtMs}: UseMeta): ProgramUse => ({
	$typeName: 'siskinhub.peer.v1.ProgramUse',
	program,
	use: {
		$typeName: 'siskinhub.peer.v1.TokenUse', attempt, tokens, settled,
	},
	expiresAtMs,
});

const toTurn = ({id, previous, expiresAtMs}: TurnMeta, readBody: () => unknown): KeptTurn => {
	let decoded: KeptTurn | undefined;
	const decode = (): KeptTurn => {
		decoded ??= fromBinary(KeptTurnSchema, fromBase64(readBody()));
		return decoded;
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

/** One line each. */
export const factLines = {
	encode(record: WireRecord): Uint8Array {
		const {fact} = record;
		if (fact.case === 'use' && fact.value.use) {
			const {program, use: {attempt, tokens, settled}, expiresAtMs} = fact.value;
			return encodeEntry({
				kind: 'use', program, attempt, tokens, settled, expiresAtMs,
			} satisfies LineMeta);
		}

		if (fact.case === 'turn') {
			const {id, previous, expiresAtMs} = fact.value;
			return encodeEntry({
				kind: 'turn', id, previous, expiresAtMs,
			} satisfies LineMeta, toBase64(toBinary(KeptTurnSchema, fact.value)));
		}

		return encodeEntry({kind: 'fact'} satisfies LineMeta, toBase64(toBinary(RecordSchema, record)));
	},
	/** `undefined` where the line, without its line break, does not match its checksum. */
	decode(line: Uint8Array): WireRecord | undefined {
		const entry = decodeEntry<LineMeta>(line);
		if (!entry) {
			return undefined;
		}

		const {meta, readBody} = entry;
		switch (meta.kind) {
			case 'use': {
				return toRecord({case: 'use', value: toUse(meta)});
			}

			case 'turn': {
				return toRecord({case: 'turn', value: toTurn(meta, readBody)});
			}

			case 'fact': {
				return fromBinary(RecordSchema, fromBase64(readBody()));
			}
		}
	},
};

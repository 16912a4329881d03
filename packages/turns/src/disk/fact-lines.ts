/**
Facts as lines of the log. A use is plain JSON, since a restart reads many of
them; a turn or a list is the message's bytes in Base64 behind it.
*/
import {Buffer} from 'node:buffer';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {decodeEntry} from '@siskinhub/history/log/decode-entry.js';
import {encodeEntry} from '@siskinhub/history/log/encode-entry.js';
import {RecordSchema, type Record as WireRecord} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type LineMeta =
	| {readonly kind: 'fact'}
	| {readonly kind: 'use'; readonly program: string; readonly attempt: string; readonly tokens: number; readonly settled: boolean; readonly expiresAtMs: number};

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

		return encodeEntry({kind: 'fact'} satisfies LineMeta, Buffer.from(toBinary(RecordSchema, record)).toString('base64'));
	},
	/** `undefined` where the line, without its line break, does not match its checksum. */
	decode(line: Uint8Array): WireRecord | undefined {
		const entry = decodeEntry<LineMeta>(line);
		if (!entry) {
			return undefined;
		}

		const {meta} = entry;
		if (meta.kind === 'fact') {
			return fromBinary(RecordSchema, Buffer.from(entry.readBody() as string, 'base64'));
		}

		const {program, attempt, tokens, settled, expiresAtMs} = meta;
		return create(RecordSchema, {fact: {case: 'use', value: {program, use: {attempt, tokens, settled}, expiresAtMs}}});
	},
};

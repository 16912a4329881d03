/**
Converts changes of the declared state to their protobuf message.
*/
import type {DeclaredChanges} from '@siskinhub/declared/declared-changes.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';

type WireChanges = Extract<MessageBodyInit, {readonly case: 'changes'}>['value'];

export const toWireChanges = ({entries, revision, isWhole, lapseGraceMs}: DeclaredChanges): WireChanges => ({
	entries: entries.map(({key, revision: changed, value}) => ({
		key, revision: changed, value: value ?? '', deleted: value === undefined,
	})),
	revision,
	whole: isWhole,
	...(lapseGraceMs !== undefined && {lapseGraceMs: Math.ceil(lapseGraceMs)}),
});

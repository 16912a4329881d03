/**
Converts changes of the declared state from their protobuf message.
*/
import type {DeclaredChanges} from '@siskinhub/declared/declared-changes.js';
import type {Changes} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

export const fromWireChanges = ({entries, revision, whole, lapseGraceMs}: Changes): DeclaredChanges => ({
	entries: entries.map(({key, revision: changed, value, deleted}) => ({key, revision: changed, ...(!deleted && {value})})),
	revision,
	isWhole: whole,
	...(lapseGraceMs !== undefined && {lapseGraceMs}),
});

/**
The list of holders as a message.
*/
import {create} from '@bufbuild/protobuf';
import {HolderListSchema, type HolderList as WireHolderList} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {HolderList} from './holder-list.js';

/** Version 0 stands for no list. */
export const toWireList = (list: HolderList | undefined): WireHolderList => create(HolderListSchema, list
	? {version: list.version, current: list.current.map(holder => ({...holder})), next: (list.next ?? []).map(holder => ({...holder}))}
	: {});

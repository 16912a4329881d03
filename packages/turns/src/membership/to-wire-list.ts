/**
Converts the list of holders to its protobuf message.
*/
import {create} from '@bufbuild/protobuf';
import {HolderListSchema, type HolderList as WireHolderList} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';
import type {HolderList} from '../membership/holder-list.js';

/** A missing list becomes an empty message, whose version 0 stands for no list. */
export const toWireList = (list: HolderList | undefined): WireHolderList => create(HolderListSchema, list
	? {version: list.version, current: list.current.map(holder => ({...holder})), next: (list.next ?? []).map(holder => ({...holder}))}
	: {});

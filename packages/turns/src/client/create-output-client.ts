/**
Passes the events of a turn that will be kept to the holders of its replica group
while they go to the caller, and reads them for a caller that takes the turn up.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {findGroup} from '../membership/find-group.js';
import type {GroupId} from '../membership/group-id.js';
import type {Holder} from '../membership/holder.js';
import type {HolderList} from '../membership/holder-list.js';
import {listAllHolders} from '../membership/list-all-holders.js';
import type {AskQuorum} from './ask-quorum.js';
import type {HolderClient} from './holder-client.js';
import type {OutputEvent} from './output-event.js';

type OutputClientOptions = {
	readonly askQuorum: AskQuorum;
	readonly readList: (group: GroupId) => HolderList | undefined;
	readonly linkTo: (holder: Holder) => PeerLink;
};

export const createOutputClient = ({askQuorum, readList, linkTo}: OutputClientOptions): Pick<HolderClient, 'appendOutput' | 'readOutput'> => ({
	appendOutput({program, attempt}, offset, events) {
		const group = findGroup(program);
		const list = readList(group);
		for (const holder of list ? listAllHolders(list) : []) {
			linkTo(holder).send({
				case: 'appendOutput', value: {
					group, attempt, offset, events: [...events],
				},
			});
		}
	},
	async readOutput({program, attempt}, lastEventId, timeoutMs) {
		const group = findGroup(program);
		let beginning: readonly OutputEvent[] | undefined;
		await askQuorum({program, group}, listVersion => ({case: 'readOutput', value: {group, listVersion, attempt}}), 'write', timeoutMs, list => {
			const unanswered = new Set(listAllHolders(list).map(({diskId}) => diskId));
			return ({diskId}, answer) => {
				unanswered.delete(diskId);
				if (answer.case === 'output') {
					const {events} = answer.value;
					const last = events.findIndex(({id}) => id === lastEventId);
					beginning = last === -1 ? beginning : events.slice(0, last + 1).map(({id, data}) => ({id, data}));
				}

				return beginning !== undefined || unanswered.size === 0 ? 'enough' : 'more';
			};
		});
		return beginning;
	},
});

/**
Reads the state of a running system for operators: the declared state, and for
each known process how many changes of it that process lacks.
*/
import {createDeclaredView} from '@siskinhub/declared/create-declared-view.js';
import type {DeclarationStore} from '@siskinhub/declared/declaration-store.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {listGroups} from '@siskinhub/turns/membership/list-groups.js';
import {err, ok, type Result} from 'neverthrow';
import type {DeclaredKeys} from '../host/declared-keys.js';
import {createHolderRegistry} from '../host/create-holder-registry.js';
import type {Upstream} from '../upstreams/upstream.js';
import type {Workspace} from '../workspaces/workspace.js';
import type {SystemState} from './system-state.js';
import type {WorkspaceState} from './workspace-state.js';

type ReadOptions = {
	readonly store: DeclarationStore;
	readonly keys: DeclaredKeys;
	readonly linkTo: (address: string) => PeerLink;
	/** `http://IP:PORT` of processes to query in addition to the copy holders. */
	readonly addresses: readonly string[];
};

/** How long an operator waits for a process that does not answer. */
const MEMBER_TIMEOUT_MS = 1500;

const describeWorkspace = ({name, rank, ratePerS, burst, keyHashes}: Workspace): WorkspaceState => ({
	name, rank, ratePerS, burst, keys: keyHashes.length,
});

const queryMember = async (link: PeerLink, address: string, revision: number): Promise<SystemState['members'][number]> => {
	const answer = await link.request({case: 'changesSince', value: {revision}}, {timeoutMs: MEMBER_TIMEOUT_MS});
	const hello = link.remote();
	if (answer.isErr() || answer.value.case !== 'changes' || !hello) {
		return {address};
	}

	const {host, dataCentre, dataFolderId} = hello;
	return {
		address, host, dataCentre, ...(dataFolderId !== '' && {diskId: dataFolderId}), changesBehind: Math.max(0, revision - answer.value.value.revision),
	};
};

/** Queries the copy holders on the list and the processes at `addresses`. The error is the reason why the platform's service did not answer. */
export const readSystemState = async ({store, keys, linkTo, addresses}: ReadOptions): Promise<Result<SystemState, string>> => {
	const changes = await store.readChanges(0);
	if (changes.isErr()) {
		return err(changes.error.message);
	}

	const declared = changes.value;
	const view = createDeclaredView();
	const upstreams: Upstream[] = [];
	const unreadable: Array<{id: string; reason: string}> = [];
	const retiring: string[] = [];
	let routes: SystemState['routes'];
	view.onChange(entry => {
		const host = keys.decodeRetireRequest(entry.key);
		if (host !== undefined) {
			retiring.push(host);
		}

		const fact = keys.decode(entry);
		if (fact.kind === 'routes') {
			routes = fact.routes.match<SystemState['routes']>(({version, routes: all, workspaces}) => ({version, routes: all, workspaces: workspaces?.map(workspace => describeWorkspace(workspace))}), error => ({error}));
		} else if (fact.kind === 'upstream') {
			fact.upstream?.match(upstream => upstreams.push(upstream), reason => unreadable.push({id: fact.id, reason}));
		}
	});
	const registry = createHolderRegistry({view, store, keys});
	view.apply(declared);
	const groups = listGroups().flatMap(group => {
		const list = registry.readList(group);
		return list ? [{group, ...list}] : [];
	});
	const disks = registry.listDisks();
	const memberAddresses = new Set([...disks.map(({address}) => address), ...addresses]);
	const members = await Promise.all([...memberAddresses].map(async address => queryMember(linkTo(address), address, declared.revision)));
	return ok({
		revision: declared.revision, routes, upstreams, unreadable, disks, groups, retiring, members,
	});
};

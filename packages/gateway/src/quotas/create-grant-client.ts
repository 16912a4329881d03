/**
Asks the issuers for grants, with one message for all workspaces of this gateway.

Load: tens of workspaces with steady demand, renewed together about once a second; a
hot one that needs more than its first issuer has left, and so asks the next ones.
Failures: an issuer that does not answer is left out for a second; the next one is
asked.
*/
import {hashPair} from '@siskinhub/core/ids/hash-pair.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import {askHolder} from '@siskinhub/turns/membership/ask-holder.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {LimitedWorkspace} from './limited-workspace.js';
import {orderQuotaIssuers} from './order-quota-issuers.js';
import {toWireAsk} from './to-wire-ask.js';

/** An issuer answers within a few milliseconds. */
const ASK_TIMEOUT_MS = 150;
/** A holder whose link is silent for longer has missed a heartbeat. */
const MAX_SILENCE_MS = 1200;
/** An issuer that did not answer is not asked again for this time. */
const SUSPECT_MS = 1000;

type GrantClientOptions = {
	readonly host: string;
	readonly dataCentre: string;
	readonly listWorkspaces: () => Iterable<LimitedWorkspace>;
	readonly listDisks: () => readonly Holder[];
	readonly linkTo: (holder: Holder) => PeerLink;
	/** Milliseconds between two calls of `renew`. */
	readonly renewMs: number;
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** Called with each workspace whose grant was renewed, and how many requests came in addition. */
	readonly onGranted: (workspace: LimitedWorkspace, more: number) => void;
	/** Called after each question has been answered, or not. */
	readonly onAsked: () => void;
};

export const createGrantClient = ({host, dataCentre, listWorkspaces, listDisks, linkTo, renewMs, now, onGranted, onAsked}: GrantClientOptions) => {
	const asking = new Set<string>();
	const suspectUntil = new Map<string, number>();
	const sequences = new Map<string, number>();
	let ordered: {readonly key: string; readonly issuers: readonly Holder[]} = {key: '', issuers: []};

	/** Gateways of one data centre prefer its issuers, and each another one. */
	const listIssuers = (): readonly Holder[] => {
		const disks = listDisks();
		const key = disks.map(({diskId}) => diskId).join(' ');
		if (key !== ordered.key) {
			const rate = (holder: Holder): number => (holder.dataCentre === dataCentre ? 0 : 1) + hashPair(host, holder.diskId);
			ordered = {key, issuers: orderQuotaIssuers(disks).toSorted((a, b) => rate(a) - rate(b))};
		}

		return ordered.issuers;
	};

	const isReachable = (holder: Holder): boolean => {
		const link = linkTo(holder);
		return link.remote()?.dataFolderId === holder.diskId && link.silentForMs() < MAX_SILENCE_MS && now() >= (suspectUntil.get(holder.diskId) ?? 0);
	};

	const listReachable = (): readonly Holder[] => listIssuers().filter(holder => isReachable(holder));

	const findSpare = ({grants}: LimitedWorkspace, reachable: readonly Holder[]): Holder | undefined => reachable.find(({diskId}) => grants.mayHaveSpare(diskId, now()));

	const chooseIssuer = (workspace: LimitedWorkspace, reachable: readonly Holder[]): Holder | undefined =>
		findSpare(workspace, reachable) ?? reachable.find(({diskId}) => workspace.grants.isAskable(diskId, now()));

	const isLow = (workspace: LimitedWorkspace, reachable: readonly Holder[]): boolean => workspace.grants.isLow(now(), () => findSpare(workspace, reachable) !== undefined);

	/** Tells the issuer as well of all that it was not told in the last `sinceMs`. */
	const ask = async (holder: Holder, reachable: readonly Holder[], sinceMs: number): Promise<void> => {
		const {diskId} = holder;
		if (asking.has(diskId)) {
			return;
		}

		const asked = [...listWorkspaces()]
			.filter(workspace => workspace.grants.hasNews(diskId, now(), sinceMs) || (isLow(workspace, reachable) && chooseIssuer(workspace, reachable)?.diskId === diskId))
			.map(workspace => ({workspace, ask: workspace.grants.ask(diskId, workspace.limit, now())}));
		if (asked.length === 0) {
			return;
		}

		const sequence = (sequences.get(diskId) ?? 0) + 1;
		sequences.set(diskId, sequence);
		asking.add(diskId);
		const answer = await askHolder(linkTo(holder), holder, {case: 'askGrants', value: {sequence, asks: asked.map(({ask: one}) => toWireAsk(one))}}, ASK_TIMEOUT_MS);
		asking.delete(diskId);
		const granted = answer.isOk() && answer.value.case === 'grants' ? answer.value.value.granted : [];
		if (granted.length !== asked.length) {
			suspectUntil.set(diskId, now() + SUSPECT_MS);
		}

		for (const [index, {workspace, ask: one}] of asked.entries()) {
			const requests = granted.length === asked.length ? granted[index] : undefined;
			if (requests) {
				workspace.grants.apply(diskId, one, requests, now());
				onGranted(workspace, requests.total - one.held);
			} else {
				workspace.grants.noteUnanswered(diskId);
			}
		}

		onAsked();
	};

	return {
		/** Whether it is time to ask for more. */
		isLow: (workspace: LimitedWorkspace): boolean => isLow(workspace, listReachable()),
		/** Asks for more of a workspace. Returns whether an issuer has been asked, now or before; if not, `waitMs` says when one may be, and is absent if none answers. */
		askFor(workspace: LimitedWorkspace): {readonly isAsked: true} | {readonly isAsked: false; readonly waitMs?: number} {
			const reachable = listReachable();
			const issuer = chooseIssuer(workspace, reachable);
			if (issuer) {
				void ask(issuer, reachable, renewMs / 2);
				return {isAsked: true};
			}

			return reachable.length === 0 ? {isAsked: false} : {isAsked: false, waitMs: workspace.grants.deniedForMs(reachable.map(({diskId}) => diskId), now())};
		},
		/** Reports what was used, renews what is held and gives back what is not wanted any more. */
		renew(): void {
			const reachable = listReachable();
			for (const holder of reachable) {
				void ask(holder, reachable, 0);
			}
		},
	};
};

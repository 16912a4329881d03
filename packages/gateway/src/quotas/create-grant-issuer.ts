/**
Grants requests of workspaces to gateways, at one of the issuers.

Load: one workspace sends 7 times its usual through all gateways, tens of others a
few requests a second each. A grant covers what a gateway is about to use, so
ordinary days cost a message a second from each gateway. Where room gets short,
gateways get no more than they need for the next moments, and each question at most
half of what is left, so that the first gateway does not take what the others need.

No message is trusted to arrive. A gateway reports a sum of what it used, so a lost
report is repeated by the next one. Until its next question it may hold the larger
of what it had and what it was granted, whichever answer it got.
*/
import {createWindowAccount} from './create-window-account.js';
import {createPace} from './create-pace.js';
import type {GrantAsk} from './grant-ask.js';
import type {GrantedRequests} from './granted-requests.js';
import type {QuotaBounds} from './quota-bounds.js';
import type {QuotaLimit} from './quota-limit.js';

/** A gateway that got less than it wanted asks again after this time at the earliest, and at the latest. */
const MIN_WAIT_MS = 200;
const MAX_WAIT_MS = 1000;
/** Share of the room that is left which one question may get. */
const GRANTED_SHARE = 0.5;
/** Share of the whole room that is kept for what gateways need at once: what they merely want to have in hand would lie idle there. */
const KEPT_SHARE = 0.2;

type GatewayState = {sequence: number; readonly settled: Map<string, number>; heardAt: number};

type WorkspaceState = {limit: QuotaLimit; readonly pace: ReturnType<typeof createPace>; readonly account: ReturnType<typeof createWindowAccount>};

type GrantIssuerOptions = {
	readonly bounds: QuotaBounds;
	/** Milliseconds. */
	readonly grantMs: number;
	/** Reads a monotonic clock, in milliseconds. */
	readonly now: () => number;
	/** How many requests of a workspace with this limit this issuer may grant in any window, now. */
	readonly readRoom: (limit: QuotaLimit) => number;
};

export const createGrantIssuer = ({bounds, grantMs, now, readRoom}: GrantIssuerOptions) => {
	const {windowMs} = bounds;
	const gateways = new Map<string, GatewayState>();
	const workspaces = new Map<string, WorkspaceState>();

	const getWorkspace = (name: string, limit: QuotaLimit): WorkspaceState => {
		const known = workspaces.get(name) ?? {limit, account: createWindowAccount(windowMs), pace: createPace(bounds)};
		workspaces.set(name, known);
		if (limit.version > known.limit.version) {
			known.limit = limit;
		}

		return known;
	};

	/** Drops what counts no more: gateways that ended, workspaces that were removed. */
	const prune = (): void => {
		for (const [gateway, {heardAt}] of gateways) {
			if (now() - heardAt <= windowMs + grantMs) {
				break;
			}

			gateways.delete(gateway);
		}
	};

	/** Requests that the gateway may hold from now on, of `free` ones that nobody else holds or has used. `paced`: how many more may be granted now, and after a pause. */
	const decideTotal = ({held, needed, wanted}: GrantAsk, free: number, room: number, paced: {readonly now: number; readonly burst: number}): number => {
		const more = Math.min(free - held, paced.now);
		if (free <= held) {
			return Math.max(0, free);
		}

		const forNeeds = Math.max(0, Math.min(needed - held, Math.ceil(GRANTED_SHARE * more), Math.floor(more)));
		const spare = Math.min(free - held - (KEPT_SHARE * room), paced.now - (KEPT_SHARE * paced.burst)) - forNeeds;
		const forWishes = Math.max(0, Math.min(wanted - held - forNeeds, Math.floor(GRANTED_SHARE * spare)));
		return held + forNeeds + forWishes;
	};

	const chooseWaitMs = (isPaced: boolean, intervalMs: number, releaseMs: number): number => Math.min(MAX_WAIT_MS, Math.max(MIN_WAIT_MS, isPaced ? intervalMs : releaseMs));

	const grant = (gateway: string, state: GatewayState, ask: GrantAsk): GrantedRequests => {
		const {workspace, usedTotal, held} = ask;
		const {limit, account, pace} = getWorkspace(workspace, ask.limit);
		// An issuer that does not know the gateway has granted it nothing that counts.
		const newlyUsed = usedTotal - (state.settled.get(workspace) ?? usedTotal);
		state.settled.set(workspace, usedTotal);
		const before = account.setOutstanding(gateway, 0, 0);
		pace.spend(-Math.max(0, before - newlyUsed - held));
		account.addUsed(newlyUsed, now() - ask.lastUseAgeMs);
		const room = readRoom(limit);
		const free = room - account.count(now());
		const paced = {now: pace.count(now(), room, limit), burst: pace.countBurst(room, limit)};
		const total = decideTotal(ask, free, room, paced);
		account.setOutstanding(gateway, Math.max(held, total), now() + grantMs);
		pace.spend(Math.max(0, total - held));
		return {total, waitMs: total >= ask.needed ? 0 : chooseWaitMs(free - total >= 1, pace.intervalMs(room, limit), account.waitMs(now()))};
	};

	return {
		/** `gateway` names one start of the process that asks. Returns `undefined` for a question that is older than one that was answered. */
		ask(gateway: string, sequence: number, asks: readonly GrantAsk[]): readonly GrantedRequests[] | undefined {
			const state = gateways.get(gateway) ?? {sequence: 0, settled: new Map<string, number>(), heardAt: now()};
			if (sequence <= state.sequence) {
				return undefined;
			}

			state.sequence = sequence;
			state.heardAt = now();
			gateways.delete(gateway);
			gateways.set(gateway, state);
			prune();
			return asks.map(ask => grant(gateway, state, ask));
		},
		/** What counts of each workspace now and how much of it may: for the operators. */
		list: () => [...workspaces].map(([workspace, {limit, account}]) => ({workspace, counted: account.count(now()), room: readRoom(limit)})),
	};
};

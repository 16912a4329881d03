/**
Keeps the requests of workspaces within their quotas at one gateway, with what the
issuers grant it.

Load: ordinary days, on which each request finds a grant in hand; a workspace with 7
times its usual, whose requests beyond the quota are refused at once. A call of a
program under way waits a moment for a grant, as its refusal may cost the program.
*/
import type {Workspace} from '../workspaces/workspace.js';
import type {CallHead} from '../call/call-head.js';
import {createDemandMeter} from './create-demand-meter.js';
import {createGrantClient} from './create-grant-client.js';
import {createGrantWaiters} from './create-grant-waiters.js';
import {createProgramLedger} from './create-program-ledger.js';
import {createWorkspaceGrants} from './create-workspace-grants.js';
import type {deriveGrantTimes} from './grant-times.js';
import type {LimitedWorkspace} from './limited-workspace.js';
import type {QuotaDecision} from './quota-decision.js';
import type {QuotaGate} from './quota-gate.js';
import type {QuotaLimit} from './quota-limit.js';

/** A caller that is refused need not come back earlier. */
const MIN_RETRY_MS = 200;
const MS_PER_S = 1000;
/** Callers are spread over the time in which the quota would serve all that were refused in a second, up to so many seconds. */
const MAX_SPREAD_S = 5;
/** Wait if no issuer answers; another gateway may reach one. */
const NO_ISSUER_RETRY_MS = 300;
/** A call of a program under way that waits is decided on by then. */
const MAX_RETRY_MS = 200;
const GRANTED: QuotaDecision = {kind: 'granted'};

type QuotaGateOptions = Pick<Parameters<typeof createGrantClient>[0], 'host' | 'dataCentre' | 'listDisks' | 'linkTo' | 'now'> & {
	readonly times: Pick<ReturnType<typeof deriveGrantTimes>, 'grantMs' | 'renewMs'>;
	/** The limit in force, and `undefined` if there is none. `workspace` may be of an earlier revision. */
	readonly readLimit: (workspace: Workspace) => QuotaLimit | undefined;
	/** Uniformly distributed in [0, 1). */
	readonly random: () => number;
	/** Called with each decision about a request that is to be sent, and with each refusal before. */
	readonly onDecided: (workspace: string, outcome: 'granted' | 'limit' | 'programs' | 'no-issuer') => void;
};

/** `close` ends the renewals. */
export const createQuotaGate = ({times, readLimit, now, random, onDecided, ...clientOptions}: QuotaGateOptions): QuotaGate & {readonly close: () => void} => {
	const workspaces = new Map<string, LimitedWorkspace>();

	const open = (workspace: Workspace): LimitedWorkspace | undefined => {
		const limit = readLimit(workspace);
		const known = workspaces.get(workspace.name);
		if (!limit) {
			return undefined;
		}

		if (!known) {
			const grants = createWorkspaceGrants(workspace.name, times.grantMs);
			const added = {
				name: workspace.name, limit, grants, ledger: createProgramLedger(), arrivals: createDemandMeter(), waiters: createGrantWaiters(now, grants.changeWaiting), isRetrying: false,
			};
			workspaces.set(workspace.name, added);
			return added;
		}

		if (limit.ratePerS !== known.limit.ratePerS || limit.burst !== known.limit.burst) {
			// What was granted by the earlier limit may be too much.
			known.grants.drop();
		}

		known.limit = limit;
		return known;
	};

	const refuse = ({name, arrivals, ledger}: LimitedWorkspace, reason: 'limit' | 'programs' | 'no-issuer', waitMs: number): QuotaDecision => {
		onDecided(name, reason);
		if (reason === 'no-issuer') {
			return {kind: 'over', reason, retryAfterMs: NO_ISSUER_RETRY_MS};
		}

		const excess = (arrivals.perSecond(now()) / Math.max(1, ledger.supplyPerS(now()))) - 1;
		const spreadMs = random() * MS_PER_S * Math.min(MAX_SPREAD_S, Math.max(0, excess));
		return {kind: 'over', reason, retryAfterMs: Math.ceil(Math.max(MIN_RETRY_MS, waitMs) + spreadMs)};
	};

	const take = ({name, grants}: LimitedWorkspace): boolean => {
		const isTaken = grants.take(now());
		if (isTaken) {
			onDecided(name, 'granted');
		}

		return isTaken;
	};

	/** Serves what waits, and asks for more where it is due. */
	const advance = (workspace: LimitedWorkspace): void => {
		const {waiters, ledger} = workspace;
		while (!waiters.isEmpty() && take(workspace)) {
			waiters.grantNext();
		}

		if (!client.isLow(workspace)) {
			return;
		}

		const asked = client.askFor(workspace);
		if (asked.isAsked || waiters.isEmpty()) {
			return;
		}

		if (asked.waitMs !== undefined) {
			ledger.markShort(now());
		}

		waiters.refuse(() => refuse(workspace, asked.waitMs === undefined ? 'no-issuer' : 'limit', asked.waitMs ?? 0));
		if (!waiters.isEmpty() && !workspace.isRetrying) {
			workspace.isRetrying = true;
			setTimeout(() => {
				workspace.isRetrying = false;
				advance(workspace);
			}, Math.min(asked.waitMs ?? NO_ISSUER_RETRY_MS, MAX_RETRY_MS));
		}
	};

	const client = createGrantClient({
		...clientOptions,
		now,
		renewMs: times.renewMs,
		listWorkspaces: () => workspaces.values(),
		onGranted({ledger}, more) {
			ledger.addSupply(more, now());
		},
		onAsked() {
			for (const workspace of workspaces.values()) {
				advance(workspace);
			}
		},
	});
	const timer = setInterval(client.renew, times.renewMs).unref();

	const waitFor = async (workspace: LimitedWorkspace, call: CallHead): Promise<QuotaDecision> => {
		const decision = workspace.waiters.wait(workspace.ledger.isUnderWay(call), () => refuse(workspace, 'no-issuer', 0));
		advance(workspace);
		return decision;
	};

	return {
		admit(call, declared, route) {
			const workspace = open(declared);
			if (!workspace) {
				return GRANTED;
			}

			workspace.arrivals.record(now());
			if (workspace.ledger.admit(call, route, now())) {
				return GRANTED;
			}

			// What is refused here shows the demand that grants are asked for.
			workspace.grants.recordDemand(now());
			advance(workspace);
			return refuse(workspace, 'programs', 0);
		},
		// Not async: most requests are decided at once, and must not wait for a microtask.

		acquire(call, declared): QuotaDecision | Promise<QuotaDecision> {
			const workspace = open(declared);
			if (!workspace) {
				return GRANTED;
			}

			workspace.grants.recordDemand(now());
			if (workspace.waiters.isEmpty() && take(workspace)) {
				advance(workspace);
				return GRANTED;
			}

			return waitFor(workspace, call);
		},
		takeSpare(declared) {
			const workspace = open(declared);
			return !workspace || (workspace.waiters.isEmpty() && !client.isLow(workspace) && take(workspace));
		},
		giveBack(declared) {
			workspaces.get(declared.name)?.grants.untake(now());
		},
		close() {
			clearInterval(timer);
		},
	};
};

/**
What one gateway may run of one workspace without asking, by the issuers that
granted it.

A grant is counted from the moment at which it was asked for, so a message that is
late only makes it shorter. The gateway heeds the reply to its last question alone.
*/
import {createDemandMeter} from './create-demand-meter.js';
import type {GrantAsk} from './grant-ask.js';
import type {GrantedRequests} from './granted-requests.js';
import type {QuotaLimit} from './quota-limit.js';

/** What is held covers this much of the demand, so that most requests wait for no message. */
const WANTED_S = 1.2;
/** What is needed at the least covers the way to an issuer and back with what it may be held up. */
const NEEDED_S = 0.2;
/** For so long after a request the gateway wants to hold one for the next. */
const WARM_MS = 5000;
/** Below this share of what is wanted it asks for more. */
const LOW_SHARE = 0.15;
/** An issuer that grants less than is wanted is not asked for more than is needed, for this time. */
const RESTRICTED_MS = 500;
/** Where all issuers are short, it asks for more below this share of what is needed. */
const LOW_NEEDED_SHARE = 0.5;
/** Less is asked for only once a request needs it. */
const MIN_PREFETCHED = 5;

type Grant = {
	held: number;
	usedTotal: number;
	/** What the issuer was last told of `usedTotal`. */
	reportedTotal: number;
	lastUsedAt: number;
	endsAt: number;
	/** Not to be asked for more before. */
	deniedUntil: number;
	/** Not to be asked for more than is needed before. */
	restrictedUntil: number;
	askedAt: number;
	hasNews: boolean;
};

/** A question that was sent, and when. */
type SentAsk = {readonly usedTotal: number; readonly sentAt: number; readonly epoch: number};

/** Times are on one monotonic clock, in milliseconds. `issuer` is the id of its disk. */
export const createWorkspaceGrants = (workspace: string, grantMs: number) => {
	const grants = new Map<string, Grant>();
	const demand = createDemandMeter();
	let waiting = 0;
	// Counts the changes of the limit: a reply to a question of before one grants by the limit of then.
	let epoch = 0;

	const getGrant = (issuer: string): Grant => {
		const grant = grants.get(issuer) ?? {
			held: 0, usedTotal: 0, reportedTotal: 0, lastUsedAt: -Infinity, endsAt: -Infinity, deniedUntil: -Infinity, restrictedUntil: -Infinity, askedAt: -Infinity, hasNews: false,
		};
		grants.set(issuer, grant);
		return grant;
	};

	const countHeld = (now: number): number => {
		let held = 0;
		for (const grant of grants.values()) {
			held += grant.endsAt > now ? grant.held : 0;
		}

		return held;
	};

	const countWanted = (now: number): number => {
		const expected = demand.perSecond(now) * WANTED_S;
		// Requests come unevenly, the fewer the more so.
		return waiting + Math.floor(expected + Math.sqrt(expected)) + (demand.idleMs(now) < WARM_MS ? 1 : 0);
	};

	const countNeeded = (now: number): number => waiting + Math.floor(demand.perSecond(now) * NEEDED_S);

	return {
		countHeld,
		recordDemand: demand.record,
		demandPerS: demand.perSecond,
		/** `change` requests more wait for a grant, or fewer. */
		changeWaiting(change: number): void {
			waiting += change;
		},
		/** Uses one request of a grant, the one that ends first; returns whether there was one. */
		take(now: number): boolean {
			let first: Grant | undefined;
			for (const grant of grants.values()) {
				if (grant.held > 0 && grant.endsAt > now && (!first || grant.endsAt < first.endsAt)) {
					first = grant;
				}
			}

			if (!first) {
				return false;
			}

			first.held--;
			first.usedTotal++;
			first.lastUsedAt = now;
			first.hasNews = true;
			return true;
		},
		/** Takes back the use of one request that has not run, unless an issuer was told of it: it counts by when it was used. */
		untake(now: number): void {
			for (const grant of grants.values()) {
				if (grant.usedTotal > grant.reportedTotal && grant.endsAt > now) {
					grant.usedTotal--;
					grant.held++;
					return;
				}
			}
		},
		/** Whether it is time to ask some issuer for more. `canSpare` says whether one may have more than is needed. */
		isLow(now: number, canSpare: () => boolean): boolean {
			const held = countHeld(now);
			if (waiting > held) {
				return true;
			}

			const wanted = countWanted(now);
			return wanted >= MIN_PREFETCHED && held < wanted * LOW_SHARE && (held < countNeeded(now) * LOW_NEEDED_SHARE || canSpare());
		},
		/** Whether the issuer may be asked for more. */
		isAskable: (issuer: string, now: number): boolean => (grants.get(issuer)?.deniedUntil ?? -Infinity) <= now,
		/** Whether the issuer may have more than is needed. */
		mayHaveSpare(issuer: string, now: number): boolean {
			const grant = grants.get(issuer);
			return !grant || Math.max(grant.deniedUntil, grant.restrictedUntil) <= now;
		},
		/** Whether there is something to report or to renew at the issuer that it was not told in the last `sinceMs`. */
		hasNews(issuer: string, now: number, sinceMs: number): boolean {
			const grant = grants.get(issuer);
			return grant !== undefined && now - grant.askedAt >= sinceMs && (grant.hasNews || (grant.held > 0 && grant.endsAt > now));
		},
		/** Gives back what is held beyond what is wanted, and asks for what is missing. */
		ask(issuer: string, limit: QuotaLimit, now: number): GrantAsk & SentAsk {
			const grant = getGrant(issuer);
			const own = grant.endsAt > now ? grant.held : 0;
			const elsewhere = countHeld(now) - own;
			const wanted = Math.max(0, countWanted(now) - elsewhere);
			grant.held = Math.min(own, wanted);
			grant.hasNews = false;
			grant.askedAt = now;
			grant.reportedTotal = grant.usedTotal;
			return {
				workspace, limit, usedTotal: grant.usedTotal, lastUseAgeMs: now - grant.lastUsedAt, held: grant.held, needed: Math.min(wanted, Math.max(0, countNeeded(now) - elsewhere)), wanted, sentAt: now, epoch,
			};
		},
		/** `ask` must be the last one that was sent to the issuer. */
		apply(issuer: string, {usedTotal, sentAt, wanted, epoch: askedIn}: SentAsk & Pick<GrantAsk, 'wanted'>, {total, waitMs}: GrantedRequests, now: number): void {
			const grant = getGrant(issuer);
			grant.held = askedIn === epoch ? Math.max(0, total - (grant.usedTotal - usedTotal)) : 0;
			grant.hasNews ||= askedIn !== epoch;
			grant.endsAt = sentAt + grantMs;
			grant.deniedUntil = now + waitMs;
			grant.restrictedUntil = total < wanted ? now + RESTRICTED_MS : -Infinity;
		},
		/** The issuer did not answer: what was reported is told again. */
		noteUnanswered(issuer: string): void {
			getGrant(issuer).hasNews = true;
		},
		/** Gives all back, since the limit has changed. */
		drop(): void {
			epoch++;
			for (const grant of grants.values()) {
				grant.held = 0;
				grant.hasNews = true;
				grant.deniedUntil = -Infinity;
			}
		},
		/** Milliseconds until one of the issuers may be asked again. */
		deniedForMs: (issuers: readonly string[], now: number): number => Math.max(0, Math.min(...issuers.map(issuer => (grants.get(issuer)?.deniedUntil ?? -Infinity) - now))),
	};
};

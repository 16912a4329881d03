/**
The requests of one workspace that wait for a grant; those of programs under way go
first.
*/
import type {QuotaDecision} from './quota-decision.js';

/** Longer than asking all issuers takes, or one that does not answer and the next. */
const MAX_WAIT_MS = 400;
/** A call of a program under way waits for so long after all issuers have said that they have no room. */
const MAX_UNDER_WAY_WAIT_MS = 200;

type Waiter = {readonly end: (decision: QuotaDecision) => void; readonly since: number};

/** `onCount` is called with each change of the number that wait. */
export const createGrantWaiters = (now: () => number, onCount: (change: number) => void) => {
	const underWay = new Set<Waiter>();
	const others = new Set<Waiter>();

	const first = (): Waiter | undefined => {
		const [waiter] = underWay.size > 0 ? underWay : others;
		return waiter;
	};

	return {
		isEmpty: () => underWay.size + others.size === 0,
		/** Resolves once `grantNext` or `refuse` ends the wait, or with what `expire` returns if none has in time. */
		wait: async (isUnderWay: boolean, expire: () => QuotaDecision): Promise<QuotaDecision> => new Promise(resolve => {
			const queue = isUnderWay ? underWay : others;
			const end = (decision: QuotaDecision): void => {
				clearTimeout(timer);
				queue.delete(waiter);
				onCount(-1);
				resolve(decision);
			};

			const waiter = {end, since: now()};
			const timer = setTimeout(() => {
				end(expire());
			}, MAX_WAIT_MS);
			queue.add(waiter);
			onCount(1);
		}),
		grantNext(): void {
			first()?.end({kind: 'granted'});
		},
		/** Ends the wait of all but the calls of programs under way that have waited only for a moment. */
		refuse(decide: () => QuotaDecision): void {
			for (const waiter of [...others, ...underWay]) {
				if (others.has(waiter) || now() - waiter.since >= MAX_UNDER_WAY_WAIT_MS) {
					waiter.end(decide());
				}
			}
		},
	};
};

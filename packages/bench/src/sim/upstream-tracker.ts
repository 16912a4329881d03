/**
The hub's view of one upstream: its last load report, and the calls placed on it
since that report was taken.
*/
import type {UpstreamView} from '@siskinhub/core/decide/upstream-view.js';
import type {LoadReport} from './load-report.js';
import type {SimSidecar} from './sim-sidecar.js';

export class UpstreamTracker {
	state: UpstreamView['state'] = 'live';
	/** Placed calls whose attempt has not ended. */
	outstanding = 0;
	#report: LoadReport;
	#receivedAt = 0;
	/** Times of the placements that the last report doesn't include. */
	#placementTimes: number[] = [];

	constructor(readonly sidecar: SimSidecar) {
		this.#report = sidecar.report();
	}

	/** Replaces the last report; reports arrive later than they were taken. */
	receive(report: LoadReport, now: number): void {
		this.#report = report;
		this.#receivedAt = now;
		this.#placementTimes = this.#placementTimes.filter(at => at > report.takenAt);
	}

	recordPlacement(now: number): void {
		this.outstanding++;
		this.#placementTimes.push(now);
	}

	/** Returns the upstream as the policies see it; `heldTokens` says how much of the program's prefix it is believed to hold. */
	createView(heldTokens: number): UpstreamView {
		const {id, engine: {spec}} = this.sidecar;
		const {running, queued, queuedStarts, usedTokens, callMs, tokenMs} = this.#report;
		return {
			id,
			state: this.state,
			slots: spec.slots,
			running,
			queued,
			queuedStarts,
			memoryTokens: spec.memoryTokens,
			usedTokens,
			reportedAt: this.#receivedAt,
			sentSinceReport: this.#placementTimes.length,
			outstanding: this.outstanding,
			callMs,
			tokenMs,
			prefillTokensPerMs: spec.prefillTokensPerMs,
			importTokensPerMs: spec.importTokensPerMs,
			heldTokens,
		};
	}
}

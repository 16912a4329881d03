/**
The placing process's view of one upstream.
*/
import type {UpstreamView} from '@siskinhub/core/decide/upstream-view.js';
import type {LoadReport} from './load-report.js';
import type {SimSidecar} from './sim-sidecar.js';

/** Follows lagged reports and what was placed since. */
export class UpstreamTracker {
	state: UpstreamView['state'] = 'live';
	outstanding = 0;
	#report: LoadReport;
	#receivedAt = 0;
	#placedAt: number[] = [];

	constructor(readonly sidecar: SimSidecar) {
		this.#report = sidecar.report();
	}

	receive(report: LoadReport, now: number): void {
		this.#report = report;
		this.#receivedAt = now;
		this.#placedAt = this.#placedAt.filter(at => at > report.takenAt);
	}

	recordPlacement(now: number): void {
		this.outstanding++;
		this.#placedAt.push(now);
	}

	view(heldTokens: number): UpstreamView {
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
			sentSinceReport: this.#placedAt.length,
			outstanding: this.outstanding,
			callMs,
			tokenMs,
			prefillTokensPerMs: spec.prefillTokensPerMs,
			importTokensPerMs: spec.importTokensPerMs,
			heldTokens,
		};
	}
}

/**
Chooses the upstream with the lowest expected cost for a call.

The cost of a candidate is the sum of the wait for a slot, the time to provide
the missing part of the prefix, and the time to generate the output at the
candidate's recent speed. The prefix is computed, or imported from the upstream
that holds the longest copy; its time is weighted because it delays other calls.
The older a report, the less it says about the queue, so the estimated wait moves
towards the mean of the candidates with the report's age. Only the holder and a
random sample of the others are compared, so that processes that decide on the
same reports do not all choose the same upstream.
*/
import {estimateQueueWait} from './estimate-queue-wait.js';
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {UnplacedCall} from './unplaced-call.js';
import type {Random} from './random.js';
import type {PlacementPolicy} from './placement-policy.js';
import type {UpstreamView} from './upstream-view.js';

const CANDIDATE_SAMPLE_SIZE = 4;
/** Age at which a report has half its weight. */
const REPORT_HALF_LIFE_MS = 4000;
/** Weight of prefix time in the cost. An engine computes one missing prefix at a time, so its other calls wait as well. */
const PREFIX_COST_WEIGHT = 6;
/** Fixed time to set up an import. */
const IMPORT_SETUP_MS = 20;

const findHolder = (upstreams: readonly UpstreamView[]): UpstreamView | undefined => {
	let holder: UpstreamView | undefined;
	for (const upstream of upstreams) {
		if (upstream.heldTokens > (holder?.heldTokens ?? 0)) {
			holder = upstream;
		}
	}

	return holder;
};

const sampleCandidates = (upstreams: readonly UpstreamView[], holder: UpstreamView | undefined, random: Random): readonly UpstreamView[] => {
	const rest = upstreams.filter(upstream => upstream !== holder);
	const sampled = holder && upstreams.includes(holder) ? [holder] : [];
	for (let count = 0; count < CANDIDATE_SAMPLE_SIZE && rest.length > 0; count++) {
		sampled.push(...rest.splice(Math.floor(random() * rest.length), 1));
	}

	return sampled;
};

const estimateAgedWaits = (call: UnplacedCall, candidates: readonly UpstreamView[], now: number): readonly number[] => {
	const waits = candidates.map(candidate => estimateQueueWait(call, candidate));
	const mean = waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length);
	return candidates.map((candidate, index) => {
		const freshness = 0.5 ** (Math.max(0, now - candidate.reportedAt) / REPORT_HALF_LIFE_MS);
		return (freshness * waits[index]!) + ((1 - freshness) * mean);
	});
};

const estimatePrefixTime = (call: UnplacedCall, candidate: UpstreamView, holder: UpstreamView | undefined): {prefixMs: number; shouldImport: boolean} => {
	if (candidate.prefillTokensPerMs === 0) {
		return {prefixMs: 0, shouldImport: false};
	}

	const computedMs = Math.max(0, call.promptTokens - candidate.heldTokens) / candidate.prefillTokensPerMs;
	if (!holder || candidate.importTokensPerMs === 0 || holder.heldTokens <= candidate.heldTokens) {
		return {prefixMs: computedMs, shouldImport: false};
	}

	const importedMs = IMPORT_SETUP_MS + (holder.heldTokens / candidate.importTokensPerMs) + (Math.max(0, call.promptTokens - holder.heldTokens) / candidate.prefillTokensPerMs);
	return importedMs < computedMs ? {prefixMs: importedMs, shouldImport: true} : {prefixMs: computedMs, shouldImport: false};
};

/** The placement policy used in production. */
export const chooseUpstream: PlacementPolicy = (call, upstreams, now, random) => {
	// A leaving upstream takes no new calls, but its copy of a prefix can still be imported.
	const holder = findHolder(upstreams.filter(upstream => upstream.state !== 'silent'));
	const candidates = sampleCandidates(listUsableUpstreams(upstreams), holder, random);
	const waits = estimateAgedWaits(call, candidates, now);
	let best: {cost: number; candidate: UpstreamView; shouldImport: boolean} | undefined;
	for (const [index, candidate] of candidates.entries()) {
		const {prefixMs, shouldImport} = estimatePrefixTime(call, candidate, holder);
		const cost = waits[index]! + (PREFIX_COST_WEIGHT * prefixMs) + (call.expectedOutputTokens * candidate.tokenMs);
		if (!best || cost < best.cost) {
			best = {cost, candidate, shouldImport};
		}
	}

	if (!best) {
		return undefined;
	}

	return best.shouldImport && holder ? {upstream: best.candidate.id, importFrom: holder.id} : {upstream: best.candidate.id};
};

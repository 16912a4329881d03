/**
Chooses the upstream that is expected to finish a call first.

A candidate's cost is the wait for a slot, the time to make the missing prefix
present (computed, or imported from the holder of the longest copy), weighted
for the calls that it delays, and the time to generate the answer at its recent speed. A report that has aged says
less about the queue, so its wait drifts towards the mean of the candidates.
Only a few sampled candidates and the holder are compared, so that many
deciding processes do not rush to the same upstream on the same report.
*/
import {estimateQueueWait} from './estimate-queue-wait.js';
import {listUsableUpstreams} from './list-usable-upstreams.js';
import type {CallView} from './call-view.js';
import type {Random} from './random.js';
import type {UpstreamChoice} from './upstream-choice.js';
import type {UpstreamView} from './upstream-view.js';

const SAMPLED_CANDIDATES = 4;
/** Age at which a report counts half. */
const REPORT_HALF_LIFE_MS = 4000;
/** An engine computes one missing prefix at a time, so the other calls on it wait as well. */
const PREFIX_COST_WEIGHT = 6;
/** Fixed cost of starting an import. */
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
	for (let count = 0; count < SAMPLED_CANDIDATES && rest.length > 0; count++) {
		sampled.push(...rest.splice(Math.floor(random() * rest.length), 1));
	}

	return sampled;
};

const estimateAgedWaits = (call: CallView, candidates: readonly UpstreamView[], now: number): readonly number[] => {
	const waits = candidates.map(candidate => estimateQueueWait(call, candidate));
	const mean = waits.reduce((sum, wait) => sum + wait, 0) / Math.max(1, waits.length);
	return candidates.map((candidate, index) => {
		const trust = 0.5 ** (Math.max(0, now - candidate.reportedAt) / REPORT_HALF_LIFE_MS);
		return (trust * waits[index]!) + ((1 - trust) * mean);
	});
};

const estimatePrefix = (call: CallView, candidate: UpstreamView, holder: UpstreamView | undefined): {prefixMs: number; imports: boolean} => {
	if (candidate.prefillTokensPerMs === 0) {
		return {prefixMs: 0, imports: false};
	}

	const computedMs = Math.max(0, call.promptTokens - candidate.heldTokens) / candidate.prefillTokensPerMs;
	if (!holder || candidate.importTokensPerMs === 0 || holder.heldTokens <= candidate.heldTokens) {
		return {prefixMs: computedMs, imports: false};
	}

	const importedMs = IMPORT_SETUP_MS + (holder.heldTokens / candidate.importTokensPerMs) + (Math.max(0, call.promptTokens - holder.heldTokens) / candidate.prefillTokensPerMs);
	return importedMs < computedMs ? {prefixMs: importedMs, imports: true} : {prefixMs: computedMs, imports: false};
};

/** The project's choice of upstream. */
export const chooseUpstream: UpstreamChoice = (call, upstreams, now, random) => {
	// A leaving engine takes no work, but its copy of a prefix can still be imported.
	const holder = findHolder(upstreams.filter(upstream => upstream.state !== 'silent'));
	const candidates = sampleCandidates(listUsableUpstreams(upstreams), holder, random);
	const waits = estimateAgedWaits(call, candidates, now);
	let best: {cost: number; candidate: UpstreamView; imports: boolean} | undefined;
	for (const [index, candidate] of candidates.entries()) {
		const {prefixMs, imports} = estimatePrefix(call, candidate, holder);
		const cost = waits[index]! + (PREFIX_COST_WEIGHT * prefixMs) + (call.expectedOutputTokens * candidate.tokenMs);
		if (!best || cost < best.cost) {
			best = {cost, candidate, imports};
		}
	}

	if (!best) {
		return undefined;
	}

	return best.imports && holder ? {upstream: best.candidate.id, importFrom: holder.id} : {upstream: best.candidate.id};
};

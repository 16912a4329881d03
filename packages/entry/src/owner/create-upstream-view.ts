/**
Describes an upstream to the function that chooses the upstream of a call. Assumed
figures stand in for those that the upstream has not reported.
*/
import type {UpstreamView} from '@siskinhub/core/decide/upstream-view.js';
import type {OpenProgram} from '@siskinhub/core/owner/open-program.js';
import type {UpstreamStatus} from '../directory/upstream-status.js';

const ASSUMED_CALL_MS = 1000;
const ASSUMED_TOKEN_MS = 20;
const ASSUMED_PREFILL_TOKENS_PER_MS = 8;

/** Builds the view for one program's next call. */
export const createUpstreamView = (upstream: UpstreamStatus, program: OpenProgram): UpstreamView => {
	const isModel = upstream.kind === 'model';
	return {
		id: upstream.id,
		state: upstream.state,
		slots: upstream.load?.slots ?? 1,
		running: upstream.load?.running ?? 0,
		queued: upstream.load?.queued ?? 0,
		queuedStarts: upstream.load?.queuedStarts ?? 0,
		memoryTokens: Number(upstream.load?.memoryTokens ?? 0),
		usedTokens: Number(upstream.load?.usedTokens ?? 0),
		reportedAt: upstream.reportedAt,
		sentSinceReport: upstream.sentSinceReport,
		outstanding: upstream.outstanding,
		callMs: upstream.load?.callMs ?? ASSUMED_CALL_MS,
		tokenMs: isModel ? upstream.load?.tokenMs ?? ASSUMED_TOKEN_MS : 0,
		prefillTokensPerMs: isModel ? ASSUMED_PREFILL_TOKENS_PER_MS : 0,
		importTokensPerMs: 0,
		heldTokens: program.prefixHolder === upstream.id ? program.historyTokens : 0,
	};
};

/**
The metrics that gateways and copy holders record.
*/
import type {CopyGap} from '@siskinhub/turns/holder/copy-gap.js';
import type {CopyRequestKind} from '@siskinhub/turns/holder/copy-request-kind.js';
import type {AnswerExcess} from '../forward/answer-excess.js';
import type {CallPhase} from '../forward/call-phase.js';
import type {UpstreamLoad} from '../placement/upstream-load.js';

/** No method throws or waits. */
export type GatewayMetrics = {
	/** Counts a caller's request whose response has ended; also by its workspace, if it has one. */
	readonly countCall: (outcome: string, status: number, durationMs: number, workspace?: string) => void;
	/** Sets which workspaces are counted by name; the others are counted together. Without it all are. */
	readonly nameWorkspaces: (listNamed: () => ReadonlySet<string>) => void;
	/** Counts a request that the end of the process cuts. */
	readonly countCut: (phase: CallPhase) => void;
	/** Counts a request to an upstream by how it ended. */
	readonly countAttempt: (end: string) => void;
	/** Counts a note that a request broke off at an upstream. */
	readonly countCrash: (source: 'attempt' | 'process') => void;
	/** Counts a request that was sent to no upstream because it crashed several. */
	readonly countBlocked: () => void;
	/** Counts a start of an upstream that said in an answer that it is leaving. */
	readonly countLeaving: () => void;
	/** Counts a stream that its caller takes up again, by whether the software that began it is known and, of a kept turn, the events before. */
	readonly countResumption: (outcome: 'resumed' | 'unknown' | 'unavailable' | 'unknown-output') => void;
	/** Counts a write to a disk that lacked data in use, by what it lacked. */
	readonly countGap: (data: CopyGap['data']) => void;
	/** Counts a request that a copy holder answered. */
	readonly countCopyRequest: (kind: CopyRequestKind) => void;
	/** Counts a control signal by the phase of the process in which it came. */
	readonly countSignal: (signal: string, phase: string) => void;
	/** Counts an error that nobody caught, which ends the process. */
	readonly countUncaughtError: (phase: string) => void;
	/** Counts an answer that had more than one answer may have, by what it was. */
	readonly countExcess: (kind: AnswerExcess['kind'] | 'plain-passed-on') => void;
	/** Counts a call to the platform's service. */
	readonly countStoreCall: (kind: string, outcome: string) => void;
	/** Counts the choice of an upstream; `prompt` is how many tokens of the prompt its cache is estimated to hold and to lack. */
	readonly countChoice: (chosen: UpstreamLoad, prompt: {readonly held: number; readonly missing: number} | undefined) => void;
	/** Records that a request was prepared for its first upstream, or refused because it could not be, after `waitMs`. */
	readonly observePreparation: (outcome: string, waitMs: number) => void;
	/** Counts a request that was sent to an upstream with a limit, or withheld from it; `upstream` as `identifyStart` names it. */
	readonly countLimited: (upstream: string, outcome: 'sent' | 'withheld') => void;
	/** Removes the counts of an upstream that is gone, so that the labels stay bounded. */
	readonly forgetLimited: (upstream: string) => void;
	/** Counts what the quota of a workspace decided about a request: `granted`, or why it was refused. */
	readonly countQuota: (workspace: string, outcome: 'granted' | 'limit' | 'programs' | 'no-issuer') => void;
	/** Adds a gauge of what each workspace has used of its quota at this issuer of grants, which `read` returns whenever the metrics are collected. */
	readonly addQuotas: (read: () => ReadonlyArray<{readonly workspace: string; readonly counted: number; readonly room: number}>) => void;
	/** Adds a gauge of the limits that upstreams name, which `read` returns whenever the metrics are collected. */
	readonly addLimits: (read: () => ReadonlyArray<{readonly upstream: string; readonly perSecond: number}>) => void;
	/** Adds a gauge that calls `read` whenever the metrics are collected. */
	readonly addGauge: (name: string, help: string, read: () => number) => void;
	/** Adds a counter with the values that `read` returns whenever the metrics are collected, by label; they never fall. */
	readonly addCounter: (name: string, help: string, label: string, read: () => Readonly<Record<string, number>>) => void;
	/** Returns all metrics in the text format of Prometheus. */
	readonly render: () => Promise<string>;
};

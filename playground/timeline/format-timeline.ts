/**
Formats the steps of a program as a timeline, with the hops of each step.
*/
import type {Hop} from './hop.js';
import type {TimelineStep} from './timeline-step.js';

const TIME_WIDTH = 9;
const HOST_WIDTH = 22;
const SPAN_WIDTH = 26;

const formatTime = (ms: number): string => `${ms.toFixed(0)} ms`.padStart(TIME_WIDTH);

const compareStart = (a: Hop, b: Hop): number => a.startMs - b.startMs;

const formatHop = (hop: Hop, depth: number, originMs: number): string => {
	const name = `${'  '.repeat(depth)}${hop.span}`.padEnd(SPAN_WIDTH);
	const upstream = hop.upstream === undefined ? '' : ` to ${hop.upstream}`;
	return `${formatTime(hop.startMs - originMs)}    ${hop.host.padEnd(HOST_WIDTH)}${name}${formatTime(hop.durationMs)}  ${hop.outcome ?? ''}${upstream}`.trimEnd();
};

const formatTree = (hops: readonly Hop[], siblings: readonly Hop[], depth: number, originMs: number): string[] => siblings.toSorted(compareStart).flatMap(hop => [
	formatHop(hop, depth, originMs),
	...formatTree(hops, hops.filter(({parentSpanId}) => parentSpanId === hop.spanId), depth + 1, originMs),
]);

const formatStep = (step: TimelineStep, hops: readonly Hop[], originMs: number): string[] => {
	const via = step.via === undefined ? '' : ` via ${step.via}`;
	const heading = `${formatTime(step.startedAt - originMs)}  ${step.title}${via}: ${step.endedAt - step.startedAt} ms`;
	const ownHops = hops.filter(({traceId}) => traceId === step.traceId);
	const ids = new Set(ownHops.map(({spanId}) => spanId));
	const roots = ownHops.filter(({parentSpanId}) => parentSpanId === undefined || !ids.has(parentSpanId));
	return [heading, ...formatTree(ownHops, roots, 0, originMs)];
};

/** One line per step, followed by one per hop, with children indented. Times are relative to the start of the first step. */
export const formatTimeline = (steps: readonly TimelineStep[], hops: readonly Hop[]): string => {
	const originMs = Math.min(...steps.map(({startedAt}) => startedAt));
	return steps.flatMap(step => formatStep(step, hops, originMs)).join('\n');
};

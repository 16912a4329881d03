/**
Formats the steps of a program with the hops of each.
*/
import type {Hop} from './hop.js';
import type {Step} from './step.js';

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

const formatTree = (hops: readonly Hop[], parents: readonly Hop[], depth: number, originMs: number): string[] => parents.toSorted(compareStart).flatMap(hop => [
	formatHop(hop, depth, originMs),
	...formatTree(hops, hops.filter(({parentSpanId}) => parentSpanId === hop.spanId), depth + 1, originMs),
]);

const formatStep = (step: Step, hops: readonly Hop[], originMs: number): string[] => {
	const via = step.via === undefined ? '' : ` via ${step.via}`;
	const heading = `${formatTime(step.startedAt - originMs)}  ${step.title}${via}: ${step.endedAt - step.startedAt} ms`;
	const own = hops.filter(({traceId}) => traceId === step.traceId);
	const ids = new Set(own.map(({spanId}) => spanId));
	const roots = own.filter(({parentSpanId}) => parentSpanId === undefined || !ids.has(parentSpanId));
	return [heading, ...formatTree(own, roots, 0, originMs)];
};

/** One line for each step, and below it one for each hop, children indented. Times count from the first step. */
export const formatTimeline = (steps: readonly Step[], hops: readonly Hop[]): string => {
	const originMs = Math.min(...steps.map(({startedAt}) => startedAt));
	return steps.flatMap(step => formatStep(step, hops, originMs)).join('\n');
};

/**
Derives what callers may take of a process from what the machine gives it.

Load pattern: callers outside our control fill whatever they are given. What they get
is a share of what is left beside a fresh process, so that answers under way, turns and
the links to holders keep theirs, and a part of the descriptors, so that the store,
upstreams, holders and the checks of readiness still get one.
*/

const MEBIBYTE = 1024 * 1024;
/** What a fresh gateway takes. */
const FRESH_BYTES = 73 * MEBIBYTE;
const MEMORY_SHARE = 1 / 3;
/** Heads become objects of the heap, which has a limit of its own. */
const HEAP_SHARE = 0.25;
const DESCRIPTOR_SHARE = 0.75;
const MIN_HELD_BYTES = 4 * MEBIBYTE;
/** Enough for what callers inside the limits send at once; the rest of a large machine is for answers and turns. */
const MAX_HELD_BYTES = 32 * MEBIBYTE;

type MachineBounds = {
	/** Of the process; `undefined` if the platform names none. */
	readonly memoryBytes: number | undefined;
	readonly maxDescriptors: number | undefined;
	/** The limit of the runtime's heap. */
	readonly heapBytes: number;
	/** By the settings. */
	readonly maxConnections: number;
};

type CallerBounds = {
	/** Bytes that all requests of callers may hold. */
	readonly maxHeldBytes: number;
	readonly maxConnections: number;
};

export const deriveCallerBounds = ({memoryBytes = Number.POSITIVE_INFINITY, maxDescriptors = Number.POSITIVE_INFINITY, heapBytes, maxConnections}: MachineBounds): CallerBounds => ({
	maxHeldBytes: Math.floor(Math.max(MIN_HELD_BYTES, Math.min(MAX_HELD_BYTES, (memoryBytes - FRESH_BYTES) * MEMORY_SHARE, heapBytes * HEAP_SHARE))),
	maxConnections: Math.max(1, Math.min(maxConnections, Math.floor(maxDescriptors * DESCRIPTOR_SHARE))),
});

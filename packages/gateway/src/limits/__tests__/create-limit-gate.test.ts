import {expect, it, vi} from 'vitest';
import type {Upstream} from '../../upstreams/upstream.js';
import {createLimitBook} from '../create-limit-book.js';
import {createLimitGate} from '../create-limit-gate.js';

const upstreams = Array.from({length: 82}, (_, index) => ({id: `u${index}`, bornAtMs: 1})) as unknown as readonly Upstream[];

// Guards against SHORT: every request named and looked up each upstream of its service twice, though none had a limit.
it('looks up no upstream while none names a limit', () => {
	const limits = createLimitBook({now: () => 0});
	const get = vi.fn(limits.get);
	const gate = createLimitGate({
		limits: {...limits, get}, listDisks: () => [], linkTo: () => undefined as never, now: () => 0, onDecided() {/* Nothing is decided. */},
	});
	expect(upstreams.every(upstream => !gate.isLimited(upstream) && gate.waitMs(upstream) === 0)).toBe(true);
	expect(get).not.toHaveBeenCalled();
	limits.record('u3 1', 5, 0);
	expect(upstreams.filter(upstream => gate.isLimited(upstream)).map(({id}) => id)).toEqual(['u3']);
});

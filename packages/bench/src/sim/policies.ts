/**
The policies that the command line accepts: the project's own, the baselines,
and combinations of both that isolate the effect of a single decision.
*/
import {admitEveryCall} from '@siskinhub/core/decide/admit-every-call.js';
import {chooseEarliestQueuedCall} from '@siskinhub/core/decide/choose-earliest-queued-call.js';
import {chooseLeastOutstanding} from '@siskinhub/core/decide/choose-least-outstanding.js';
import {chooseNextCall} from '@siskinhub/core/decide/choose-next-call.js';
import {chooseUpstream} from '@siskinhub/core/decide/choose-upstream.js';
import {createRoundRobin} from '@siskinhub/core/decide/create-round-robin.js';
import {createStickyPlacement} from '@siskinhub/core/decide/create-sticky-placement.js';
import {decideAdmission} from '@siskinhub/core/decide/decide-admission.js';
import {decideRetention} from '@siskinhub/core/decide/decide-retention.js';
import {decideRetry} from '@siskinhub/core/decide/decide-retry.js';
import {decideCrashIsolation} from '@siskinhub/core/decide/decide-crash-isolation.js';
import {keepEveryPrefix} from '@siskinhub/core/decide/keep-every-prefix.js';
import {retryImmediately} from '@siskinhub/core/decide/retry-immediately.js';
import type {PlacementPolicy} from '@siskinhub/core/decide/placement-policy.js';
import type {Policy} from './policy.js';

const createBaseline = (choose: PlacementPolicy): Policy => ({
	choose, order: chooseEarliestQueuedCall, retain: keepEveryPrefix, admit: admitEveryCall, retry: retryImmediately, isolate: () => 'normal',
});

const siskinhubPolicy: Policy = {
	choose: chooseUpstream, order: chooseNextCall, retain: decideRetention, admit: decideAdmission, retry: decideRetry, isolate: decideCrashIsolation,
};

/** Factories of the policies by name. Each run creates its own policy, because some keep state. */
export const policies: Readonly<Record<string, () => Policy>> = {
	siskinhub: () => siskinhubPolicy,
	'round-robin': () => createBaseline(createRoundRobin()),
	'least-outstanding': () => createBaseline(chooseLeastOutstanding),
	sticky: () => createBaseline(createStickyPlacement()),
	'sticky-release': () => ({...createBaseline(createStickyPlacement()), retain: decideRetention}),
	'siskinhub-sticky': () => ({...siskinhubPolicy, choose: createStickyPlacement()}),
	'siskinhub-first-come': () => ({...siskinhubPolicy, order: chooseEarliestQueuedCall}),
	'siskinhub-admit-all': () => ({...siskinhubPolicy, admit: admitEveryCall}),
};

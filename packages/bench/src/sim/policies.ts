/**
The policies that the command line accepts: the project's own, the baselines,
and combinations of both that isolate the effect of a single decision.
*/
import {admitCall} from '@siskinhub/core/decide/admit-call.js';
import {chooseFirstCome} from '@siskinhub/core/decide/choose-first-come.js';
import {chooseLeastOutstanding} from '@siskinhub/core/decide/choose-least-outstanding.js';
import {chooseNextCall} from '@siskinhub/core/decide/choose-next-call.js';
import {chooseUpstream} from '@siskinhub/core/decide/choose-upstream.js';
import {createRoundRobin} from '@siskinhub/core/decide/create-round-robin.js';
import {createStickyChoice} from '@siskinhub/core/decide/create-sticky-choice.js';
import {decideAdmission} from '@siskinhub/core/decide/decide-admission.js';
import {decideRetention} from '@siskinhub/core/decide/decide-retention.js';
import {decideRetry} from '@siskinhub/core/decide/decide-retry.js';
import {decideSuspect} from '@siskinhub/core/decide/decide-suspect.js';
import {keepPrefix} from '@siskinhub/core/decide/keep-prefix.js';
import {retryAtOnce} from '@siskinhub/core/decide/retry-at-once.js';
import type {UpstreamChoice} from '@siskinhub/core/decide/upstream-choice.js';
import type {Policy} from './policy.js';

const createBaseline = (choose: UpstreamChoice): Policy => ({
	choose, order: chooseFirstCome, retain: keepPrefix, admit: admitCall, retry: retryAtOnce, isolate: () => 'normal',
});

const siskinhubPolicy: Policy = {
	choose: chooseUpstream, order: chooseNextCall, retain: decideRetention, admit: decideAdmission, retry: decideRetry, isolate: decideSuspect,
};

/** Factories of the policies by name. Each run creates its own policy, because some keep state. */
export const policies: Readonly<Record<string, () => Policy>> = {
	siskinhub: () => siskinhubPolicy,
	'round-robin': () => createBaseline(createRoundRobin()),
	'least-outstanding': () => createBaseline(chooseLeastOutstanding),
	sticky: () => createBaseline(createStickyChoice()),
	'sticky-release': () => ({...createBaseline(createStickyChoice()), retain: decideRetention}),
	'siskinhub-sticky': () => ({...siskinhubPolicy, choose: createStickyChoice()}),
	'siskinhub-first-come': () => ({...siskinhubPolicy, order: chooseFirstCome}),
	'siskinhub-admit-all': () => ({...siskinhubPolicy, admit: admitCall}),
};

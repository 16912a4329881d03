/**
The policies that the command can name: the project's, the baselines, and mixes
of the two that show what each decision adds.
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
	choose, order: chooseFirstCome, retain: keepPrefix, admit: admitCall, retry: retryAtOnce, judgeSuspect: () => 'normal',
});

const project: Policy = {
	choose: chooseUpstream, order: chooseNextCall, retain: decideRetention, admit: decideAdmission, retry: decideRetry, judgeSuspect: decideSuspect,
};

/** Creates each policy anew for each run, because some keep state. */
export const policies: Readonly<Record<string, () => Policy>> = {
	siskinhub: () => project,
	'round-robin': () => createBaseline(createRoundRobin()),
	'least-outstanding': () => createBaseline(chooseLeastOutstanding),
	sticky: () => createBaseline(createStickyChoice()),
	'sticky-release': () => ({...createBaseline(createStickyChoice()), retain: decideRetention}),
	'siskinhub-sticky': () => ({...project, choose: createStickyChoice()}),
	'siskinhub-first-come': () => ({...project, order: chooseFirstCome}),
	'siskinhub-admit-all': () => ({...project, admit: admitCall}),
};

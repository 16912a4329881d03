/**
One upstream that names a limit, gateways that send to it and holders that issue
permits. Messages take time, heartbeats spread what is known, and holders can be
frozen or be out of reach for some gateways. Runs on the fake timers of the test.
*/
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {DataCentreId} from '@siskinhub/core/ids/data-centre-id.js';
import type {UpstreamId} from '@siskinhub/core/ids/upstream-id.js';
import {err, ok} from 'neverthrow';
import {vi} from 'vitest';
import type {Upstream} from '../../upstreams/upstream.js';
import {answerPermitRequests} from '../answer-permit-requests.js';
import {createLimitBook} from '../create-limit-book.js';
import {createLimitGate} from '../create-limit-gate.js';
import {createPermitIssuer} from '../create-permit-issuer.js';
import {identifyStart} from '../../upstreams/identify-start.js';
import {orderIssuers} from '../order-issuers.js';

type Options = {
	readonly gateways: number;
	readonly holders: number;
	readonly requestsPerS: number;
	/** The limit that the upstream names at a time; `undefined` if it names none. */
	readonly getLimit: (atMs: number) => number | undefined;
	readonly durationMs: number;
	/** Whether the message from the gateway to the holder gets through; holders are numbered in the upstream's order of issuers. */
	readonly isReachable?: (gateway: number, position: number, atMs: number) => boolean;
	/** Gateways that lose all that they know at this time. */
	readonly restart?: {readonly atMs: number; readonly gateways: number};
	/** Uniformly distributed in [0, 1). */
	readonly random: () => number;
};

/** `wasTold`: the gateway had received an answer with a limit half a second before or earlier. */
type SentRequest = {readonly atMs: number; readonly wasTold: boolean};

type Gateway = {readonly book: ReturnType<typeof createLimitBook>; readonly gate: ReturnType<typeof createLimitGate>; toldAt: number};

const MESSAGE_MS = 2;
const ANSWER_MS = 80;
const HEARTBEAT_MS = 800;
const SILENCE_MS = 2000;
const TOLD_AFTER_MS = 500;
const TICK_MS = 5;

const upstream: Upstream = {
	id: 'worker' as UpstreamId, service: 's', address: '10.0.1.1:1', dataCentre: 'd' as DataCentreId, softwareVersion: '', slots: 1, isLeaving: false, coldMs: 0, sequence: 1, bornAtMs: 1,
};

const delay = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Needs fake timers, which it advances. Returns the requests that reached the upstream. */
export const simulateLimitedUpstream = async ({
	gateways: gatewayCount, holders: holderCount, requestsPerS, getLimit, durationMs, isReachable = () => true, restart, random,
}: Options): Promise<readonly SentRequest[]> => {
	const now = (): number => performance.now();
	const startedAt = now();
	const sent: SentRequest[] = [];
	const disks = orderIssuers(identifyStart(upstream), Array.from({length: holderCount}, (_, index): Holder => ({
		diskId: `disk-${index}`, host: `h${index}`, address: `http://10.0.0.${index}:1`, dataCentre: 'd',
	})));
	const holders = disks.map(({diskId}) => {
		const book = createLimitBook({now});
		const answer = answerPermitRequests({
			diskId, limits: book, listDisks: () => disks, issue: createPermitIssuer(now), onIssued() {/* Not checked here. */},
		});
		return {book, answer};
	});

	const isUp = (gateway: number, position: number): boolean => isReachable(gateway, position, now() - startedAt);

	const createGateway = (index: number): Gateway => {
		const book = createLimitBook({now});
		const lastHeardAt = disks.map(() => now());
		const linkTo = (holder: Holder): PeerLink => {
			const position = disks.indexOf(holder);
			if (isUp(index, position)) {
				lastHeardAt[position] = now();
			}

			const silentForMs = now() - lastHeardAt[position]!;
			return {
				remote: () => silentForMs < SILENCE_MS ? {dataFolderId: holder.diskId} : undefined,
				silentForMs: () => silentForMs,
				async request(body: unknown, {timeoutMs}: {timeoutMs: number}) {
					if (!isUp(index, position)) {
						await delay(timeoutMs);
						return err({kind: 'timeout', message: 'no answer'});
					}

					await delay(MESSAGE_MS);
					let answer: unknown;
					holders[position]!.answer({
						body, reply(reply: unknown) {
							answer = reply;
						},
					} as Parameters<typeof holders[number]['answer']>[0]);
					await delay(MESSAGE_MS);
					return ok(answer as MessageBody);
				},
			} as unknown as PeerLink;
		};

		const gate = createLimitGate({
			limits: book, listDisks: () => disks, linkTo, now, onDecided() {/* Not checked here. */},
		});
		return {book, gate, toldAt: Infinity};
	};

	const gateways = Array.from({length: gatewayCount}, (_, index) => createGateway(index));

	const call = async (gateway: Gateway): Promise<void> => {
		if (gateway.gate.waitMs(upstream) > 0 || !await gateway.gate.acquire(upstream)) {
			return;
		}

		const sentAt = now();
		sent.push({atMs: sentAt - startedAt, wasTold: sentAt - gateway.toldAt >= TOLD_AFTER_MS});
		const limit = getLimit(sentAt - startedAt);
		await delay(ANSWER_MS);
		gateway.gate.recordAnswer(upstream, limit, sentAt);
		if (limit !== undefined) {
			gateway.toldAt = Math.min(gateway.toldAt, now());
		}
	};

	const spread = (): void => {
		for (const [index, {book}] of gateways.entries()) {
			for (const [position, holder] of holders.entries()) {
				if (isUp(index, position)) {
					holder.book.merge(book.listAfter(0).limits);
					book.merge(holder.book.listAfter(0).limits);
				}
			}
		}
	};

	for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
		if (passedMs % HEARTBEAT_MS === 0) {
			spread();
		}

		if (passedMs === restart?.atMs) {
			for (let index = 0; index < restart.gateways; index++) {
				gateways[index] = createGateway(index);
			}
		}

		if (random() < requestsPerS * TICK_MS / 1000) {
			// Callers are spread unevenly.
			void call(gateways[Math.floor((random() ** 2) * gatewayCount)]!);
		}

		await vi.advanceTimersByTimeAsync(TICK_MS);
	}

	return sent;
};

/**
Gateways and issuers in one process, on the fake timers of the test. Messages take
time and can be lost in either direction; holders and gateways can be frozen,
restarted and cut off, and tests send requests through any gateway.
*/
import type {Holder} from '@siskinhub/turns/membership/holder.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import {err, ok} from 'neverthrow';
import type {CallHead} from '../../call/call-head.js';
import type {Workspace} from '../../workspaces/workspace.js';
import {confirmIssuers} from '../confirm-issuers.js';
import {answerGrantQuestions} from '../answer-grant-questions.js';
import {createGrantIssuer} from '../create-grant-issuer.js';
import {createQuotaGate} from '../create-quota-gate.js';
import {createRoomReader} from '../create-room-reader.js';
import {deriveGrantTimes} from '../grant-times.js';
import type {QuotaDecision} from '../quota-decision.js';

export const bounds = {windowMs: 5000, overage: 0.1, slack: 20};
const APPLY_MS = 3000;
const MESSAGE_MS = 2;
const times = deriveGrantTimes(bounds.windowMs, APPLY_MS);

const now = (): number => performance.now();

const delay = async (ms: number): Promise<void> => new Promise(resolve => {
	setTimeout(resolve, ms);
});

type Answer = ReturnType<typeof answerGrantQuestions>;
type HolderProcess = {disk: Holder; answer: Answer; frozenUntil: number; isDown: boolean; list: readonly Holder[]; readonly observe: () => void; readonly agrees: (issuers: readonly string[]) => {readonly agrees: boolean; readonly known: readonly string[]}};
type GatewayProcess = {gate: ReturnType<typeof createQuotaGate>; readonly instance: string; frozenUntil: number};

type SystemOptions = {readonly gateways: number; readonly holders: number; readonly random: () => number; readonly areDisksNew?: boolean};

/** Needs fake timers. Grants are available only once the issuers have been up for as long as a grant may count. */
export const startQuotaSystem = ({gateways: gatewayCount, holders: holderCount, random, areDisksNew = false}: SystemOptions) => {
	const sentAt = new Map<string, number[]>();
	const refused = new Map<string, number>();
	const arrivals = new Map<string, number[]>();
	const wronglyRefused = new Map<string, number>();
	const waits: number[] = [];
	const cuts = new Set<string>();
	const declared = new Map<string, Workspace>();
	let version = 1;
	let messages = 0;
	let instances = 0;
	let calls = 0;

	const createDisk = (index: number): Holder => ({
		diskId: `disk-${index}-${instances++}`, host: `h${index}`, address: `http://10.0.0.${index}:1`, dataCentre: `d${index % 3}`,
	});
	let disks: readonly Holder[] = Array.from({length: holderCount}, (_, index) => createDisk(index));
	const holders: HolderProcess[] = [];

	const startHolder = (index: number, disk: Holder, isNewDisk: boolean): void => {
		const self: HolderProcess = {
			disk, frozenUntil: 0, isDown: false, list: disks, answer: () => false, observe() {
				rooms.observe();
				void confirmIssuers({
					diskId: disk.diskId, rooms, listDisks: () => self.list, linkTo: other => ({
						remote: () => ({dataFolderId: other.diskId}),
						async request(body: {readonly value: {readonly issuers: readonly string[]}}) {
							await delay(MESSAGE_MS);
							const asked = holders.find(holder => holder.disk === other && !holder.isDown && holder.frozenUntil <= now());
							return asked ? ok({case: 'issuerState', value: asked.agrees(body.value.issuers)}) : err({kind: 'timeout', message: 'no answer'});
						},
					}) as unknown as PeerLink,
				});
			},
			agrees: issuers => ({agrees: rooms.agreesWith(issuers), known: rooms.listKnown()}),
		};
		const rooms = createRoomReader({
			diskId: disk.diskId, isNewDisk, bounds, times, now, listDisks: () => self.list, isHeard: other => !cuts.has(`h${index}-${other.host}`) && !cuts.has(`${other.host}-h${index}`) && holders.some(holder => holder.disk === other && !holder.isDown && holder.frozenUntil <= now()), unreadForMs: () => Infinity,
		});
		const issuer = createGrantIssuer({
			bounds, grantMs: times.grantMs, now, readRoom: rooms.read,
		});
		self.answer = answerGrantQuestions(issuer);
		holders[index] = self;
	};

	for (const [index, disk] of disks.entries()) {
		startHolder(index, disk, areDisksNew);
	}

	const startGateway = (index: number): GatewayProcess => {
		const instance = `g${index}-${instances++}`;
		const linkTo = (holder: Holder): PeerLink => {
			const position = holders.findIndex(({disk}) => disk.address === holder.address);
			const isUp = (): boolean => !cuts.has(`g${index}-h${position}`) && !holders[position]!.isDown;
			return {
				remote: () => isUp() ? {dataFolderId: holders[position]!.disk.diskId} : undefined,
				silentForMs: () => isUp() && holders[position]!.frozenUntil <= now() ? 0 : 500,
				async request(body: unknown, {timeoutMs}: {timeoutMs: number}) {
					messages++;
					const lost = err({kind: 'timeout', message: 'no answer'});
					const deadline = now() + timeoutMs;
					await delay(MESSAGE_MS);
					const target = holders[position]!;
					if (!isUp()) {
						await delay(timeoutMs - MESSAGE_MS);
						return lost;
					}

					const deliver = async (): Promise<unknown> => {
						await delay(Math.max(0, target.frozenUntil - now()));
						let answer: unknown;
						target.answer({
							body, link: {remote: () => ({instance})}, reply(reply: unknown) {
								answer = reply;
							},
						} as unknown as Parameters<Answer>[0]);
						return answer;
					};

					const answer = await Promise.race([deliver(), delay(Math.max(0, deadline - now()))]);
					await delay(MESSAGE_MS);
					return answer === undefined || !isUp() ? lost : ok(answer);
				},
			} as unknown as PeerLink;
		};

		return {
			instance, frozenUntil: 0, gate: createQuotaGate({
				host: `g${index}`, dataCentre: `d${index % 3}`, listDisks: () => disks, linkTo, now, times, random, onDecided() {/* Not checked here. */},
				readLimit({name}) {
					const current = declared.get(name);
					return current && current.ratePerS > 0 ? {ratePerS: current.ratePerS, burst: current.burst, version} : undefined;
				},
			}),
		};
	};

	const gateways = Array.from({length: gatewayCount}, (_, index) => startGateway(index));

	return {
		declare(name: string, ratePerS: number, burst: number): void {
			declared.set(name, {
				name: name as WorkspaceId, keyHashes: [], rank: 0, ratePerS, burst,
			});
		},
		/** From now on all gateways know the limit. */
		change(name: string, ratePerS: number, burst: number): void {
			version++;
			this.declare(name, ratePerS, burst);
		},
		/** Sends one request; resolves once it has been decided. */
		async call(name: string, gateway: number, program?: {readonly id: string; readonly isFirst: boolean}): Promise<QuotaDecision> {
			const {gate, frozenUntil, instance} = gateways[gateway]!;
			await (frozenUntil > now() ? delay(frozenUntil - now()) : undefined);
			const call = {id: `r${calls++}` as RequestId, ...program && {program: {id: program.id as ProgramId}}} as unknown as CallHead;
			const beganAt = now();
			const window = [...(arrivals.get(name) ?? []).filter(at => at > beganAt - bounds.windowMs), beganAt];
			arrivals.set(name, window);
			const {ratePerS, burst} = declared.get(name)!;
			const isBelow = window.length <= (ratePerS * bounds.windowMs / 1000) + burst;
			const admitted = gate.admit(call, declared.get(name)!, 'route');
			const decision = admitted.kind === 'granted' ? await gate.acquire(call, declared.get(name)!) : admitted;
			if (decision.kind === 'granted' && gateways[gateway]!.instance === instance) {
				sentAt.set(name, [...sentAt.get(name) ?? [], now()]);
				waits.push(now() - beganAt);
			} else {
				refused.set(name, (refused.get(name) ?? 0) + 1);
				wronglyRefused.set(name, (wronglyRefused.get(name) ?? 0) + (isBelow ? 1 : 0));
			}

			return decision;
		},
		countSent: (name: string, fromMs = 0, toMs = Infinity): number => (sentAt.get(name) ?? []).filter(at => at >= fromMs && at < toMs).length,
		/** Counts refusals of requests that came while the workspace, with all that it asked for in the window before, was below its limit. */
		countWronglyRefused: (name: string): number => wronglyRefused.get(name) ?? 0,
		countRefused: (name: string): number => refused.get(name) ?? 0,
		countMessages: () => messages,
		listWaits: (): readonly number[] => waits.toSorted((a, b) => a - b),
		/** The most requests of a workspace in any window. */
		findMost(name: string, fromMs = 0): number {
			const times_ = (sentAt.get(name) ?? []).filter(at => at >= fromMs).toSorted((a, b) => a - b);
			let first = 0;
			let most = 0;
			for (const [last, at] of times_.entries()) {
				while (times_[first]! < at - bounds.windowMs) {
					first++;
				}

				most = Math.max(most, last - first + 1);
			}

			return most;
		},
		findBound(name: string): number {
			const {ratePerS, burst} = declared.get(name)!;
			return (((ratePerS * bounds.windowMs / 1000) + burst) * (1 + bounds.overage)) + bounds.slack;
		},
		killHolder(index: number): void {
			holders[index]!.isDown = true;
		},
		restartHolder(index: number): void {
			startHolder(index, holders[index]!.disk, false);
		},
		/** The old disk is replaced in the list by a new one; gateways and holders learn of it after `knownAfterMs`. */
		wipeHolder(index: number, knownAfterMs: number): void {
			const old = holders[index]!.disk;
			const next = createDisk(index);
			startHolder(index, next, true);
			setTimeout(() => {
				disks = disks.map(disk => disk === old ? next : disk);
				for (const holder of holders) {
					holder.list = disks;
				}
			}, knownAfterMs);
		},
		freezeHolder(index: number, forMs: number): void {
			holders[index]!.frozenUntil = now() + forMs;
		},
		setCut(gateway: number, holder: number, isCut: boolean): void {
			if (isCut) {
				cuts.add(`g${gateway}-h${holder}`);
			} else {
				cuts.delete(`g${gateway}-h${holder}`);
			}
		},
		freezeGateway(index: number, forMs: number): void {
			gateways[index]!.frozenUntil = now() + forMs;
		},
		restartGateway(index: number): void {
			gateways[index]!.gate.close();
			gateways[index] = startGateway(index);
		},
		observe(): void {
			for (const holder of holders) {
				if (holder.frozenUntil <= now()) {
					holder.observe();
				}
			}
		},
		close(): void {
			for (const {gate} of gateways) {
				gate.close();
			}
		},
	};
};

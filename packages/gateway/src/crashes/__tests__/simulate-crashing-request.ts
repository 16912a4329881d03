/**
Simulates gateways, holders and engines while one request ends each engine that
runs it, and comes again all the time at any gateway. Each engine that ends breaks
off all of its requests, whose callers send them once more elsewhere.
*/
import {createManualClock} from '../../__tests__/create-manual-clock.js';
import {createSeededRandom} from '../../__tests__/create-seeded-random.js';
import {createCrashTracker} from '../create-crash-tracker.js';

const STEP_MS = 100;
const HEARTBEAT_MS = 800;
const LINKS_PER_GATEWAY = 5;
const BACK_AFTER_MS = 2000;
const RETRY_AFTER_MS = 300;
const CRASHER = 'crasher';

type Fleet = {
	readonly gateways: number;
	readonly holders: number;
	readonly engines: number;
	/** Requests that each engine runs or queues. */
	readonly requestsPerEngine: number;
	readonly crasherEveryMs: number;
	readonly durationMs: number;
	readonly settleMs: number;
	/** Gateways that are replaced by ones that know nothing, each second. */
	readonly restartsPerS: number;
	readonly seed: number;
};

type Tracker = ReturnType<typeof createCrashTracker>;
type Process = {tracker: Tracker; readonly offsetMs: number};
type Link = {readonly from: Process; readonly to: Process; sender?: Tracker; receiver?: Tracker; cursor: Parameters<Tracker['listAfter']>[0]};

const tell = (link: Link): void => {
	// A process that starts again has new links.
	if (link.sender !== link.from.tracker || link.receiver !== link.to.tracker) {
		link.sender = link.from.tracker;
		link.receiver = link.to.tracker;
		link.cursor = undefined;
	}

	const {crashes, answered, cursor} = link.from.tracker.listAfter(link.cursor);
	link.cursor = cursor;
	link.to.tracker.merge({answered, crashes: crashes.map(crash => ({...crash, ageMs: Math.round(crash.ageMs)}))});
};

/** Runs whole days in milliseconds; the same seed gives the same result. */
export const simulateCrashingRequest = ({gateways, holders, engines, requestsPerEngine, crasherEveryMs, durationMs, settleMs, restartsPerS, seed}: Fleet) => {
	const clock = createManualClock();
	const random = createSeededRandom(seed);
	const pick = <T>(values: readonly T[]): T => values[Math.floor(random() * values.length)]!;
	const createProcess = (): Process => ({tracker: createCrashTracker({now: clock.now}), offsetMs: Math.floor(random() * HEARTBEAT_MS / STEP_MS) * STEP_MS});
	const gatewayList = Array.from({length: gateways}, createProcess);
	const holderList = Array.from({length: holders}, createProcess);
	const connect = (from: Process, to: Process): Link => ({from, to, cursor: undefined});
	const links: Link[] = holderList.flatMap(from => holderList.filter(to => to !== from).map(to => connect(from, to)));
	for (const gateway of gatewayList) {
		const first = Math.floor(random() * holders);
		for (let index = 0; index < Math.min(LINKS_PER_GATEWAY, holders); index++) {
			const holder = holderList[(first + index) % holders]!;
			links.push(connect(gateway, holder), connect(holder, gateway));
		}
	}

	const upFrom = Array.from<number>({length: engines}).fill(0);
	const startOf = Array.from<number>({length: engines}).fill(1);
	let requests = 0;
	let ends = 0;
	let thirdAt = Infinity;
	let lateSends = 0;
	let blockedInnocents = 0;
	let retriedInnocents = 0;
	let retries: Array<{readonly fingerprint: string; readonly at: number}> = [];
	let mostNotes = 0;

	/** The engine ends; every request on it is noted by the gateway that had sent it. */
	const endEngine = (engine: number, crasherSender: Process): void => {
		const name = `engine-${engine} ${startOf[engine]!}`;
		crasherSender.tracker.record(CRASHER, name);
		for (let index = 0; index < requestsPerEngine; index++) {
			requests++;
			const fingerprint = `innocent-${requests}`;
			pick(gatewayList).tracker.record(fingerprint, name);
			retries.push({fingerprint, at: clock.now() + RETRY_AFTER_MS});
		}

		upFrom[engine] = clock.now() + BACK_AFTER_MS;
		startOf[engine]!++;
		ends++;
		thirdAt = ends === 3 ? clock.now() : thirdAt;
	};

	const sendCrasher = (): void => {
		const sender = pick(gatewayList);
		const running = upFrom.flatMap((from, engine) => from <= clock.now() ? [engine] : []);
		if (sender.tracker.findBlock(CRASHER) !== undefined || running.length === 0) {
			return;
		}

		lateSends += clock.now() > thirdAt + settleMs ? 1 : 0;
		endEngine(pick(running), sender);
	};

	for (let at = 0; at < durationMs; at += STEP_MS) {
		clock.advance(STEP_MS);
		for (const link of links) {
			if ((at + link.from.offsetMs) % HEARTBEAT_MS === 0) {
				mostNotes = Math.max(mostNotes, link.from.tracker.listAfter(link.cursor).crashes.length);
				tell(link);
			}
		}

		if (random() < restartsPerS * STEP_MS / 1000) {
			pick(gatewayList).tracker = createCrashTracker({now: clock.now});
		}

		for (const {fingerprint} of retries.filter(retry => retry.at <= clock.now())) {
			retriedInnocents++;
			const {tracker} = pick(gatewayList);
			blockedInnocents += tracker.findBlock(fingerprint) ? 1 : 0;
			tracker.recordAnswered(fingerprint);
		}

		retries = retries.filter(retry => retry.at > clock.now());
		if (at % crasherEveryMs === 0) {
			sendCrasher();
		}
	}

	return {
		ends, lateSends, blockedInnocents, retriedInnocents, mostNotes,
	};
};

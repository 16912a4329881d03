/**
Listens on an address that another socket may still hold for a while.

Load pattern: a host starts a process again while the one before is still in the
grace of its planned stop and holds the same ports.
*/
import {once} from 'node:events';
import type {Server} from 'node:net';

const RETRY_INTERVAL_MS = 50;
const ERROR_IN_USE = 'EADDRINUSE';
const REMEDY = 'End the process that holds the address or change it in the settings file, and start this process again.';

type LogWait = (msg: string, fields: Readonly<Record<string, unknown>>) => void;

/** Where and for how long a server tries to listen. */
type ListenOptions = {
	readonly ip: string;
	/** 0 takes any free port. */
	readonly port: number;
	/** Milliseconds for which the address may be in use, such as the grace of the process before. By default it is tried once. */
	readonly waitMs?: number | undefined;
	readonly log?: {readonly info: LogWait; readonly warn: LogWait} | undefined;
	/** Ends the wait, for example because the process is told to stop. */
	readonly signal?: AbortSignal | undefined;
};

const isInUse = (error: unknown): boolean => error instanceof Error && 'code' in error && error.code === ERROR_IN_USE;

const listen = async (server: Server, port: number, ip: string): Promise<void> => {
	const listening = once(server, 'listening');
	server.listen(port, ip);
	await listening;
};

/** Resolves once `server` listens. Rejects if the address is in use for longer than `waitMs` or until `signal` aborts, and at once if it cannot be bound for another reason. */
export const listenWhenFree = async (server: Server, {ip, port, waitMs = 0, log, signal}: ListenOptions): Promise<void> => {
	const address = `${ip}:${port}`;
	const startedAt = performance.now();
	const measureWaitMs = (): number => Math.round(performance.now() - startedAt);
	let isWaiting = false;
	for (;;) {
		try {
			await listen(server, port, ip);
			break;
		} catch (error) {
			if (!isInUse(error)) {
				throw new Error(`Cannot listen on ${address}: ${String(error)}. Check that the settings file names an address of this host.`, {cause: error});
			}

			if (signal?.aborted) {
				throw new Error(`Gave up waiting for ${address} after ${measureWaitMs()} ms, since the process is told to stop.`, {cause: error});
			}

			if (measureWaitMs() >= waitMs) {
				throw new Error(`Cannot listen on ${address}: in use for ${measureWaitMs()} ms (${ERROR_IN_USE}). ${REMEDY}`, {cause: error});
			}
		}

		if (!isWaiting) {
			isWaiting = true;
			log?.warn('address is in use; waiting until it is free', {address, waitMs});
		}

		await new Promise(resolve => {
			setTimeout(resolve, RETRY_INTERVAL_MS);
		});
	}

	if (isWaiting) {
		log?.info('address is free; listening', {address, waitedMs: measureWaitMs()});
	}
};

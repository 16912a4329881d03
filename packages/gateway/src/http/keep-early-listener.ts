/**
Decides whether the port for callers that was opened early stays open.

Load pattern: a host starts a gateway while the one before still holds an address.
Callers that were accepted early would wait, unread, for as long; if they are
refused they try another process at once.
*/
import type {Logger} from '@siskinhub/observe/logger.js';
import {waitUntilFree} from '@siskinhub/peer/wait-until-free.js';
import type {EarlyListener} from './early-listener.js';
import {refuseEarlyCallers} from './refuse-early-callers.js';

type Address = {readonly ip: string; readonly port: number};

type KeepOptions = {
	/** Where callers connect, by the whole settings file. */
	readonly callers: Address;
	/** What the process needs beside it. */
	readonly addresses: readonly Address[];
	/** For callers that have to go elsewhere. */
	readonly refusalHeaders: Readonly<Record<string, string>>;
	readonly log: Pick<Logger, 'warn'>;
};

const isFree = async (address: Address): Promise<boolean> => {
	try {
		await waitUntilFree(address);
		return true;
	} catch {
		// The start waits for the address and reports the error.
		return false;
	}
};

const findReason = async (listener: EarlyListener, {callers, addresses}: KeepOptions): Promise<string | undefined> => {
	const bound = listener.server.address();
	if (typeof bound === 'string' || bound?.address !== callers.ip || bound.port !== callers.port) {
		return 'the address for callers has changed in the settings file';
	}

	const free = await Promise.all(addresses.map(async address => isFree(address)));
	return free.includes(false) ? 'another address of the process is in use' : undefined;
};

/** Resolves to the listener, or refuses its callers, closes it and resolves to `undefined`. */
export const keepEarlyListener = async (listener: EarlyListener, options: KeepOptions): Promise<EarlyListener | undefined> => {
	const reason = await findReason(listener, options);
	if (reason === undefined) {
		return listener;
	}

	options.log.warn('callers accepted early are refused', {reason});
	refuseEarlyCallers(listener, options.refusalHeaders);
	return undefined;
};

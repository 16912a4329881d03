/**
Finds the entries that can hold a shard's histories: those that reported the id
of a data folder when their links opened.
*/
import {setTimeout as delay} from 'node:timers/promises';
import type {HostId} from '@siskinhub/core/ids/host-id.js';
import type {ShardId} from '@siskinhub/core/ids/shard-id.js';
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import {chooseHolders} from './choose-holders.js';

type FinderOptions = {
	readonly ownAddress: string;
	readonly ownFolderId: string;
	/** The entries in the order in which they may hold a shard's histories. */
	readonly rank: (shard: ShardId) => readonly PlatformHost[];
	readonly linkTo: (address: string) => PeerLink;
};

/** Time that a link has after it is dialled to report the peer's data folder. */
const HELLO_TIMEOUT_MS = 500;
const HELLO_POLL_MS = 10;

/** Creates the finder; an empty folder id stands for an entry that has not answered. */
export const createHolderFinder = ({ownAddress, ownFolderId, rank, linkTo}: FinderOptions) => {
	const knownFolderId = (address: string): string => address === ownAddress ? ownFolderId : (linkTo(address).remote()?.dataFolderId ?? '');

	const readFolderId = async (address: string): Promise<string> => {
		if (address !== ownAddress) {
			const link = linkTo(address);
			const giveUpAt = Date.now() + HELLO_TIMEOUT_MS;
			while (link.isOpen() && !link.remote() && Date.now() < giveUpAt) {
				await delay(HELLO_POLL_MS);
			}
		}

		return knownFolderId(address);
	};

	return {
		knownFolderId,
		async findHolders(shard: ShardId) {
			const candidates = await Promise.all(rank(shard).map(async entry => ({
				host: entry.id as HostId,
				peerAddress: entry.peerAddress,
				dataCentre: entry.dataCentre,
				dataFolderId: await readFolderId(entry.peerAddress),
			})));
			return chooseHolders(candidates.filter(candidate => candidate.dataFolderId !== ''));
		},
	};
};

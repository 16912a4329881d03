/**
Indexes the keys of all workspaces by their hash.

Expected load: a flood of requests with unknown keys, thousands a second, besides the
good ones; so a key costs one look-up, however many are declared.
*/
import {Buffer} from 'node:buffer';
import {timingSafeEqual} from 'node:crypto';
import type {KeyHash} from './key-hash.js';
import type {Workspace} from './workspace.js';

type Entry = {readonly digest: Uint8Array; readonly workspace: Workspace};

/** Hexadecimal digits by which entries are found; the rest is compared in constant time. */
const PREFIX_DIGITS = 8;

/** Returns a function that finds the workspace that holds a key. */
export const indexKeys = (workspaces: readonly Workspace[]): ((hash: KeyHash) => Workspace | undefined) => {
	const entries = new Map<string, Entry[]>();
	for (const workspace of workspaces) {
		for (const hash of workspace.keyHashes) {
			const prefix = hash.slice(0, PREFIX_DIGITS);
			const entry = {digest: Buffer.from(hash, 'hex'), workspace};
			entries.set(prefix, [...entries.get(prefix) ?? [], entry]);
		}
	}

	return hash => {
		const candidates = entries.get(hash.slice(0, PREFIX_DIGITS));
		if (!candidates) {
			return undefined;
		}

		const digest = Buffer.from(hash, 'hex');
		return candidates.find(candidate => timingSafeEqual(candidate.digest, digest))?.workspace;
	};
};

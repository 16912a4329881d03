/**
An owner receives load reports only over its own link to a sidecar. When a sidecar
restarts between two polls of the platform's list, the list does not change, so
the lost link itself must cause the reconnection.
*/
import type {PeerLink} from '@siskinhub/peer/peer-link.js';
import type {PeerPool} from '@siskinhub/peer/peer-pool.js';
import type {PlatformHost} from '@siskinhub/platform/platform-host.js';
import {err} from 'neverthrow';
import {
	afterEach, beforeEach, expect, it, vi,
} from 'vitest';
import {createSidecarDirectory} from '../create-sidecar-directory.js';

const SIDECAR: PlatformHost = {
	id: 'sidecar-1', role: 'sidecar', peerAddress: 'http://127.0.0.1:7000', dataCentre: 'dc-1', state: 'live', upstream: {id: 'engine-1', kind: 'model', target: 'm'},
};

/** A pool whose links are closed by the test. */
const createFakePool = () => {
	const dialled: Array<{readonly address: string; readonly close: () => void}> = [];
	const links = new Map<string, PeerLink>();
	const pool: PeerPool = {
		get(address) {
			const known = links.get(address);
			if (known) {
				return known;
			}

			const listeners: Array<() => void> = [];
			const link: PeerLink = {
				remote: () => undefined,
				isOpen: () => links.has(address),
				silentForMs: () => 0,
				send() {/* Nobody listens. */},
				request: async () => err({kind: 'lost', message: 'nobody listens'}),
				openCall: () => ({close() {/* Nothing is open. */}}),
				reply() {/* Nobody listens. */},
				flush() {/* Nothing waits. */},
				onClosed(listener) {
					listeners.push(listener);
				},
				close() {/* The test closes its links itself. */},
			};
			links.set(address, link);
			dialled.push({
				address, close() {
					links.delete(address);
					for (const listener of listeners) {
						listener();
					}
				},
			});
			return link;
		},
		links: () => [...links.values()],
		flushAll() {/* Nothing waits. */},
		closeAll() {/* The test closes its links itself. */},
	};
	return {pool, dialled};
};

const createDirectory = (isOwner: () => boolean) => {
	const {pool, dialled} = createFakePool();
	const listed: PlatformHost[] = [SIDECAR];
	const directory = createSidecarDirectory({
		hosts: {
			entries: () => [],
			sidecars: () => listed,
			sidecarsFor: () => listed,
			findSidecar: id => listed.find(host => host.id === id),
			async refresh() {/* The list is fixed. */},
			stop() {/* Nothing runs. */},
		},
		pool: () => pool,
		silenceMs: 800,
		isOwner,
	});
	return {directory, dialled, listed};
};

beforeEach(() => {
	vi.useFakeTimers();
});
afterEach(() => {
	vi.useRealTimers();
});

it('reconnects to a sidecar after each lost link while the list does not change', () => {
	const {directory, dialled} = createDirectory(() => true);
	directory.syncLinks();
	dialled.at(-1)!.close();
	vi.advanceTimersByTime(1000);
	expect(dialled).toHaveLength(2);
	dialled.at(-1)!.close();
	vi.advanceTimersByTime(1000);
	expect(dialled).toHaveLength(3);
});

it('does not reconnect to a sidecar that left the list or that no owner needs', () => {
	let isOwner = true;
	const {directory, dialled, listed} = createDirectory(() => isOwner);
	directory.syncLinks();
	isOwner = false;
	dialled.at(-1)!.close();
	vi.advanceTimersByTime(1000);
	expect(dialled).toHaveLength(1);
	isOwner = true;
	directory.syncLinks();
	expect(dialled).toHaveLength(2);
	listed.pop();
	dialled.at(-1)!.close();
	vi.advanceTimersByTime(1000);
	expect(dialled).toHaveLength(2);
});

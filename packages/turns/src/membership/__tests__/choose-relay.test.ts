import {expect, it} from 'vitest';
import {chooseRelay} from '../choose-relay.js';
import type {Holder} from '../holder.js';

const toHolder = (diskId: string, dataCentre: string): Holder => ({
	diskId, host: `host-${diskId}`, address: `http://${diskId}`, dataCentre,
});
const disks = ['a', 'b', 'c', 'd', 'e', 'f'].map((diskId, index) => toHolder(diskId, `z${index % 3}`));

const choose = (options: Partial<Parameters<typeof chooseRelay>[0]>) => chooseRelay({
	disks, dataCentre: 'z1', isUsable: () => true, ...options,
})?.diskId;

it('has one process a data centre read the platform\'s service, however many there are', () => {
	const readers = disks.filter(({diskId, dataCentre}) => choose({ownDiskId: diskId, dataCentre}) === undefined);
	expect(readers.map(({diskId}) => diskId)).toEqual(['a', 'b', 'c']);
	expect(choose({})).toBe('b');
});

it('falls back to another holder of the data centre, then to one elsewhere', () => {
	expect(choose({isUsable: ({diskId}) => diskId !== 'b'})).toBe('e');
	expect(['a', 'c', 'd', 'f']).toContain(choose({isUsable: ({diskId}) => diskId !== 'b' && diskId !== 'e'}));
	expect(choose({dataCentre: 'without holders'})).toBeDefined();
});

it('has a process read by itself if it finds no relay', () => {
	expect(choose({isUsable: () => false})).toBeUndefined();
	expect(choose({disks: []})).toBeUndefined();
});

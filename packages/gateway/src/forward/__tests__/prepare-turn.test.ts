import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {RequestId} from '@siskinhub/core/ids/request-id.js';
import type {HolderClient} from '@siskinhub/turns/client/holder-client.js';
import {expect, it, vi} from 'vitest';
import type {CallHead} from '../../call/call-head.js';
import type {Route} from '../../routes/route.js';
import {prepareTurn} from '../prepare-turn.js';

const call: CallHead = {
	id: 'r1' as RequestId, method: 'POST', path: '/', host: 'h', headers: [], program: {id: 'p' as ProgramId, tokenBudget: 100, previousTurn: 'r0' as RequestId}, prompt: {promptTokens: 10, maxTokens: 20, parts: []},
};
const route: Route = {
	name: 'r', host: 'h', prefix: '/', kind: 'stream', targets: [], timeoutMs: 3000, objectiveMs: 200, maxRuns: 1, rank: 0, isResumable: false, keepsTurns: true, retentionMs: 60_000, isSticky: true,
};

const createHolderClient = (isCutOff: boolean) => ({
	reserve: vi.fn<HolderClient['reserve']>(async () => 'reserved'),
	readTurns: vi.fn<HolderClient['readTurns']>(async () => ({kind: 'found', turns: [], isFromOtherGroup: false})),
	settle: vi.fn<HolderClient['settle']>(async () => true),
	recordOrigin: vi.fn<HolderClient['recordOrigin']>(async () => true),
	readOrigin: vi.fn<HolderClient['readOrigin']>(async () => ({kind: 'unknown'})),
	appendOutput: vi.fn<HolderClient['appendOutput']>(),
	readOutput: vi.fn<HolderClient['readOutput']>(async () => undefined),
	isReady: () => !isCutOff,
	isCutOff: () => isCutOff,
	cutOffForMs: () => isCutOff ? 1 : 0,
});

const prepare = async (holderClient: HolderClient) => prepareTurn(holderClient, call, route, {body: new Uint8Array([1]), remainingMs: 3000});

it('refuses a turn at once, with nothing reserved, if the process has lost the holders', async () => {
	const holderClient = createHolderClient(true);
	expect(await prepare(holderClient)).toEqual({kind: 'unavailable', isReserved: false});
	expect(holderClient.reserve).not.toHaveBeenCalled();
	expect(holderClient.readTurns).not.toHaveBeenCalled();
});

it('reserves tokens and reads the previous turns otherwise', async () => {
	const holderClient = createHolderClient(false);
	expect(await prepare(holderClient)).toMatchObject({kind: 'ready', isReserved: true});
	expect(holderClient.reserve).toHaveBeenCalledOnce();
	expect(holderClient.readTurns).toHaveBeenCalledOnce();
});

it.each(['spent', 'over-budget', 'unavailable'] as const)('reads no turns for a turn that is refused as %s', async reserved => {
	const holderClient = createHolderClient(false);
	holderClient.reserve.mockResolvedValue(reserved);
	expect(await prepare(holderClient)).toMatchObject({kind: reserved === 'unavailable' ? 'unavailable' : 'over-budget'});
	expect(holderClient.readTurns).not.toHaveBeenCalled();
});

/**
Reads from the upstreams which requests they ran.
*/
import {generateTokens} from '@siskinhub/standins/engine/generate-tokens.js';
import type {RunRecord} from '@siskinhub/standins/engine/run-record.js';
import type {EffectRecord} from '@siskinhub/standins/service/effect-record.js';
import type {Execution} from '../history/execution.js';
import type {Cluster} from './cluster.js';
import {sendJsonRequest} from './send-json-request.js';

const FINISHED = new Set(['stop', 'length']);
const CONFIRMATION_LENGTH = 12;

const fromRun = (record: RunRecord): Execution => ({
	mark: record.mark,
	program: record.group,
	upstream: record.engine,
	kind: 'model',
	startedAt: record.startedAt,
	endedAt: record.endedAt,
	fate: FINISHED.has(record.fate) ? 'finished' : record.fate as Execution['fate'],
	promptTokens: record.promptTokens,
	outputTokens: record.outputTokens,
	text: generateTokens(record.answerKey, record.outputTokens).join(''),
});

const fromEffect = (record: EffectRecord, upstream: string): Execution => ({
	mark: record.mark,
	program: '',
	upstream,
	kind: 'service',
	startedAt: record.at,
	endedAt: record.at,
	fate: 'finished',
	promptTokens: 0,
	outputTokens: 0,
	text: '',
	confirmation: record.inputSha256.slice(0, CONFIRMATION_LENGTH),
});

/** Thaws frozen upstreams and starts dead ones first; their records are on disk and survive a crash. */
export const collectExecutions = async ({upstreams}: Cluster): Promise<Execution[]> => {
	const collected = await Promise.all(upstreams.map(async ({id, kind, address, upstream}) => {
		upstream.thaw();
		await upstream.start();
		const {body} = await sendJsonRequest('GET', `${address}/records`);
		return kind === 'model' ? (body as RunRecord[]).map(record => fromRun(record)) : (body as EffectRecord[]).map(record => fromEffect(record, id));
	}));
	return collected.flat();
};

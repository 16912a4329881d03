/**
The two workloads of the bench, with the specified sizes of their deployments.
*/
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {UpstreamSpec} from './upstream-spec.js';
import type {Workload} from './workload.js';

const MODEL_ENGINE: UpstreamSpec = {
	slots: 32, tokenMs: 25, prefillTokensPerMs: 16, importTokensPerMs: 10, memoryTokens: 1_200_000,
};
const PLAIN_SERVICE: UpstreamSpec = {
	slots: 8, tokenMs: 0, prefillTokensPerMs: 0, importTokensPerMs: 0, memoryTokens: 0,
};

const createRow = (name: string, weight: number, demand: number) => ({
	row: `workspace/${name}` as RowKey, weight, priority: 0, demand,
});

/** Workloads by name, as given on the command line. */
export const workloads: Readonly<Record<string, Workload>> = {
	huenchullan: {
		dataCentres: ['planta-norte', 'planta-sur', 'oficina-puerto'],
		models: {name: 'modelos-trenza', count: 8, spec: MODEL_ENGINE},
		services: {name: 'pedidos-app', count: 17, spec: PLAIN_SERVICE},
		rows: [createRow('well-advice', 4, 0.5), createRow('floor-checks', 2, 0.2), createRow('dispatch', 3, 0.3)],
		shape: {
			minTurns: 3, maxTurns: 210, turnsAlpha: 1.3, firstPromptTokens: 1500, newTokens: 400, outputTokens: 120, pauseMs: 1000,
			serviceChance: 0.2, serviceMs: 120, nonIdempotentChance: 0.3, agentsChance: 0.05, deathChance: 0.03,
		},
	},
	alliance: {
		dataCentres: ['delta-a', 'delta-b', 'delta-c', 'delta-d'],
		models: {name: 'repair-agents', count: 6, spec: MODEL_ENGINE},
		services: {name: 'booking-core', count: 24, spec: PLAIN_SERVICE},
		rows: [createRow('shop-1', 3, 0.25), createRow('shop-2', 2, 0.25), createRow('shop-3', 2, 0.2), createRow('shop-4', 1, 0.15), createRow('shop-5', 1, 0.15)],
		shape: {
			minTurns: 2, maxTurns: 120, turnsAlpha: 1.2, firstPromptTokens: 5000, newTokens: 600, outputTokens: 150, pauseMs: 1500,
			serviceChance: 0.35, serviceMs: 150, nonIdempotentChance: 0.4, agentsChance: 0.03, deathChance: 0.03,
		},
	},
};

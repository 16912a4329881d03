#!/usr/bin/env node
/**
The daemon of an entry host. `SIGTERM` stops it gracefully.
*/
import {earlySignals} from '@siskinhub/lifecycle/early-signals.js';
import {runDaemon} from '@siskinhub/lifecycle/run-daemon.js';
import {createLogger} from '@siskinhub/observe/create-logger.js';
import {createMetrics} from '@siskinhub/observe/create-metrics.js';
import {createTracer} from '@siskinhub/observe/create-tracer.js';
import {createPlatformClient} from '@siskinhub/platform/create-platform-client.js';
import {EntrySettingsSchema} from '@siskinhub/settings/entry-settings-schema.js';
import {resolveEntryConfig} from '@siskinhub/settings/resolve-entry-config.js';
import {startFromCommandLine} from '@siskinhub/settings/start-from-command-line.js';
import {createEntry} from './create-entry.js';
import {createHistoryHolderService} from './history/create-history-holder-service.js';

const VERSION = '0.1.0';
const EXIT_CODE_STOP_TIMEOUT = 3;
/** Beside the time for requests in flight; handing over the shards waits for the platform's service. */
const LEAVE_TIMEOUT_MS = 10_000;

await startFromCommandLine({
	name: 'siskinhub-entry',
	version: VERSION,
	summary: 'Serves callers and operators, owns shards of programs and holds copies of histories.',
	schema: EntrySettingsSchema,
	async start(settings) {
		const cfg = resolveEntryConfig(settings);
		const {host, dataCentre} = cfg;
		const log = createLogger({level: cfg.log.level, host});
		const metrics = await createMetrics({metrics: cfg.metrics, host, dataCentre});
		const tracer = await createTracer({
			traces: cfg.traces, service: 'siskinhub-entry', host, dataCentre, log,
		});
		const holderService = await createHistoryHolderService(cfg.dataFolder);
		if (holderService.isErr()) {
			throw new Error(holderService.error);
		}

		const platform = createPlatformClient({address: cfg.platform.address, callTimeoutMs: cfg.platform.timeoutMs});
		await runDaemon({
			signals: earlySignals,
			log,
			stopWithinMs: cfg.gracefulStopMs + LEAVE_TIMEOUT_MS,
			async start() {
				const entry = await createEntry(cfg, {
					version: VERSION, platform, holderService: holderService.value, log, metrics, tracer,
				});
				return {
					async stop() {
						const isClean = await entry.stop();
						await Promise.all([metrics.close(), tracer.close()]);
						log.info('entry stopped', {isClean});
						return isClean ? 0 : EXIT_CODE_STOP_TIMEOUT;
					},
				};
			},
		});
	},
});

#!/usr/bin/env node
/**
Command line entry point of the sidecar daemon, which runs beside one upstream.
*/
import {earlySignals} from '@siskinhub/lifecycle/early-signals.js';
import {runDaemon} from '@siskinhub/lifecycle/run-daemon.js';
import {createLogger} from '@siskinhub/observe/create-logger.js';
import {createMetrics} from '@siskinhub/observe/create-metrics.js';
import {createTracer} from '@siskinhub/observe/create-tracer.js';
import {resolveSidecarConfig} from '@siskinhub/settings/resolve-sidecar-config.js';
import {SidecarSettingsSchema} from '@siskinhub/settings/sidecar-settings-schema.js';
import {startFromCommandLine} from '@siskinhub/settings/start-from-command-line.js';
import {createSidecar} from './create-sidecar.js';

const VERSION = '0.1.0';
const EXIT_STOP_TIMED_OUT = 3;
/** Beside the time for runs in flight. */
const CLOSE_TIMEOUT_MS = 10_000;

await startFromCommandLine({
	name: 'siskinhub-sidecar',
	version: VERSION,
	summary: 'Runs the queue of one upstream.',
	schema: SidecarSettingsSchema,
	async start(settings) {
		const cfg = resolveSidecarConfig(settings);
		const {host, dataCentre} = cfg;
		const log = createLogger({level: cfg.log.level, host});
		const metrics = await createMetrics({metrics: cfg.metrics, host, dataCentre});
		const tracer = await createTracer({
			traces: cfg.traces, service: 'siskinhub-sidecar', host, dataCentre, log,
		});
		await runDaemon({
			signals: earlySignals,
			log,
			stopWithinMs: cfg.gracefulStopMs + CLOSE_TIMEOUT_MS,
			async start() {
				const sidecar = await createSidecar(cfg, {log, metrics, tracer});
				return {
					async stop() {
						const isClean = await sidecar.stop();
						await Promise.all([metrics.close(), tracer.close()]);
						log.info('sidecar stopped', {isClean});
						return isClean ? 0 : EXIT_STOP_TIMED_OUT;
					},
				};
			},
		});
	},
});

/**
Adds gauges for what the process itself holds: its memory and its sockets. They are
read only when the metrics are collected.
*/
import {readFileSync} from 'node:fs';
import process from 'node:process';
import type {GatewayMetrics} from './gateway-metrics.js';

const STATUS_FILE = '/proc/self/status';
const BYTES_PER_KIB = 1024;

/** The peak of the resident memory in bytes since the process started; `undefined` where the system does not tell. */
const readPeakBytes = (): number | undefined => {
	try {
		const kib = /^VmHWM:\s+(?<kib>\d+) kB$/mv.exec(readFileSync(STATUS_FILE, 'utf8'))?.groups?.kib;
		return kib === undefined ? undefined : Number(kib) * BYTES_PER_KIB;
	} catch {
		return undefined;
	}
};

const countSockets = (): number => process.getActiveResourcesInfo().filter(kind => kind === 'TCPSocketWrap').length;

/** The gauge of the peak is left out where the system does not tell it. */
export const registerProcessGauges = ({addGauge}: Pick<GatewayMetrics, 'addGauge'>): void => {
	addGauge('siskinhub_resident_bytes', 'Memory of the process that is resident.', () => process.memoryUsage.rss());
	addGauge('siskinhub_heap_used_bytes', 'Memory in use on the heap of V8.', () => process.memoryUsage().heapUsed);
	addGauge('siskinhub_heap_bytes', 'Memory that V8 has taken from the system for its heap.', () => process.memoryUsage().heapTotal);
	addGauge('siskinhub_external_bytes', 'Memory outside the heap of V8 that belongs to objects on it, array buffers included.', () => process.memoryUsage().external);
	addGauge('siskinhub_array_buffer_bytes', 'Memory of array buffers, which hold what is read from and written to sockets.', () => process.memoryUsage().arrayBuffers);
	addGauge('siskinhub_sockets', 'Open TCP connections of the process: from callers, to upstreams, links and the platform\'s service.', countSockets);
	if (readPeakBytes() !== undefined) {
		addGauge('siskinhub_resident_peak_bytes', 'The most memory of the process that was resident at once since its start.', () => readPeakBytes() ?? 0);
	}
};

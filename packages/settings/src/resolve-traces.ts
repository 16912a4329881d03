/**
Resolves where spans are exported to.
*/
import type {TracesConfig} from '@siskinhub/observe/traces-config.js';

/** Returns `undefined` if the settings have no section for traces. */
export const resolveTraces = (traces: {readonly otlpAddress?: string; readonly toLog: boolean} | undefined): TracesConfig | undefined => {
	if (!traces) {
		return undefined;
	}

	return traces.otlpAddress === undefined ? {kind: 'log'} : {kind: 'otlp', address: traces.otlpAddress};
};

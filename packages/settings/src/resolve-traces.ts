/**
Resolves where spans go.
*/
import type {TracesConfig} from '@siskinhub/observe/traces-config.js';

/** Returns `undefined` where the settings ask for no traces. */
export const resolveTraces = (traces: {readonly otlpAddress?: string; readonly toLog: boolean} | undefined): TracesConfig | undefined => {
	if (!traces) {
		return undefined;
	}

	return traces.otlpAddress === undefined ? {kind: 'log'} : {kind: 'otlp', address: traces.otlpAddress};
};

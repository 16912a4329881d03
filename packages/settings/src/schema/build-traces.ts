/**
Builds the schema of the traces.
*/
import * as z from 'zod';
import {buildHttpAddress} from './build-http-address.js';
import {buildSection} from './build-section.js';

const TO_LOG_ERROR = 'true or false';

/** Where spans go; without the section none are recorded. */
export const buildTraces = () => buildSection({
	otlpAddress: buildHttpAddress().optional()
		.describe('Collector that receives spans over OTLP/HTTP, as http://IP:PORT; the path /v1/traces is added'),
	toLog: z.boolean({error: TO_LOG_ERROR}).default(false)
		.describe('Writes each span to the log instead'),
}).refine(({otlpAddress, toLog}) => (otlpAddress === undefined) === toLog, {
	error: 'either `otlpAddress` or `toLog: true`',
}).optional().describe('Traces, one span for each hop; none are recorded if the section is absent');

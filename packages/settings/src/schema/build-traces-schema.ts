/**
Builds the schema of the trace settings.
*/
import * as z from 'zod';
import {buildHttpAddressSchema} from './build-http-address-schema.js';
import {buildSectionSchema} from './build-section-schema.js';

const TO_LOG_ERROR = 'true or false';

/** Where spans are exported to; without the section none are recorded. */
export const buildTracesSchema = () => buildSectionSchema({
	otlpAddress: buildHttpAddressSchema().optional()
		.describe('Collector that receives spans over OTLP/HTTP, as http://IP:PORT; the path /v1/traces is added'),
	toLog: z.boolean({error: TO_LOG_ERROR}).default(false)
		.describe('Whether to write each span to the log instead of sending it to a collector'),
}).refine(({otlpAddress, toLog}) => (otlpAddress === undefined) === toLog, {
	error: 'either `otlpAddress` or `toLog: true`',
}).optional().describe('Traces, one span for each hop; none are recorded if the section is absent');

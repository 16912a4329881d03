/**
Builds the schema of the section `callers`.
*/
import {buildIntegerSchema} from '../build-integer-schema.js';
import {buildSectionSchema} from '../build-section-schema.js';

/** Of all callers' connections of a process. */
const MAX_CONNECTIONS = 1_000_000;
const DEFAULT_MAX_CONNECTIONS = 3000;

export const buildCallersSchema = () => buildSectionSchema({
	maxConnections: buildIntegerSchema(1, MAX_CONNECTIONS).default(DEFAULT_MAX_CONNECTIONS)
		.describe('Connections of callers that a gateway keeps open at once; the one that has been idle longest is closed for a new one'),
}).prefault({}).describe('Limits on what callers may take of a gateway');

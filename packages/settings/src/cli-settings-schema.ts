/**
Schema of the settings file of the `siskinhub` command.
*/
import * as z from 'zod';
import {buildHttpAddressSchema} from './schema/build-http-address-schema.js';
import {buildNameSchema} from './schema/build-name-schema.js';
import {buildSectionSchema} from './schema/build-section-schema.js';

const ENTRIES_ERROR = 'a list of one or more addresses of the form http://IP:PORT';

/** Settings of an operator. */
export const CliSettingsSchema = buildSectionSchema({
	entries: z.array(buildHttpAddressSchema(), {error: ENTRIES_ERROR}).min(1, {error: ENTRIES_ERROR})
		.describe('Addresses of entries, as http://IP:PORT; commands try them in this order'),
	operator: buildNameSchema().optional()
		.describe('Name that the history of the table records with each edit')
		.meta({defaultText: 'the name of the logged-in user'}),
});

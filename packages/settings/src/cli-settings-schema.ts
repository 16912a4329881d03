/**
Schema of the settings file of the `siskinhub` command.
*/
import * as z from 'zod';
import {buildHttpAddress} from './schema/build-http-address.js';
import {buildName} from './schema/build-name.js';
import {buildSection} from './schema/build-section.js';

const ENTRIES_ERROR = 'a list of one or more addresses of the form http://IP:PORT';

/** What the settings file of an operator may say. */
export const CliSettingsSchema = buildSection({
	entries: z.array(buildHttpAddress(), {error: ENTRIES_ERROR}).min(1, {error: ENTRIES_ERROR})
		.describe('Addresses of entries, as http://IP:PORT; a command tries them in this order'),
	operator: buildName().optional()
		.describe('Name that the table\'s history records beside each edit')
		.meta({defaultText: 'the name of the logged-in user'}),
});

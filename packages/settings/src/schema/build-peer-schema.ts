/**
Builds the schema of the listener for other processes of the system.
*/
import * as z from 'zod';
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {buildHttpAddressSchema} from './build-http-address-schema.js';
import {buildIntegerSchema} from './build-integer-schema.js';
import {buildIpSchema} from './build-ip-schema.js';
import {buildSectionSchema} from './build-section-schema.js';

const WILDCARD_ADDRESSES = new Set(['0.0.0.0', '::']);
const AddressSchema = z.object({ip: z.string(), advertisedAddress: z.unknown().optional()});

// An invalid value passes, because the schema reports it already.
const isReachable = (value: unknown): boolean => {
	const parsed = AddressSchema.safeParse(value);
	return !parsed.success || parsed.data.advertisedAddress !== undefined || !WILDCARD_ADDRESSES.has(parsed.data.ip);
};

/** The address to listen on and the one that peers connect to; the latter is required if the process listens on every interface. */
export const buildPeerSchema = () => buildSectionSchema({
	ip: buildIpSchema().describe('IP address to listen on for other processes of the system; 0.0.0.0 for every interface'),
	port: buildIntegerSchema(1, SETTING_BOUNDS.port).describe('Port to listen on for other processes of the system'),
	advertisedAddress: buildHttpAddressSchema().optional()
		.describe('Address at which other processes reach this one, as http://IP:PORT; required if `ip` is 0.0.0.0 or ::')
		.meta({defaultText: '`http://` followed by `ip` and `port`'}),
}).refine(isReachable, {
	path: ['advertisedAddress'],
	error: 'the address that peers connect to, as http://IP:PORT, because `ip` stands for every interface',
	when: () => true,
});

/**
Builds the schema of the listener for the system's own processes.
*/
import * as z from 'zod';
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {buildHttpAddress} from './build-http-address.js';
import {buildInteger} from './build-integer.js';
import {buildIp} from './build-ip.js';
import {buildSection} from './build-section.js';

const EVERY_INTERFACE = new Set(['0.0.0.0', '::']);
const AddressParts = z.object({ip: z.string(), advertisedAddress: z.unknown().optional()});

const isReachable = (value: unknown): boolean => {
	const parts = AddressParts.safeParse(value);
	return !parts.success || parts.data.advertisedAddress !== undefined || !EVERY_INTERFACE.has(parts.data.ip);
};

/** Where peers reach the process; listening on every interface needs an advertised address. */
export const buildPeer = () => buildSection({
	ip: buildIp().describe('IP number to listen on for other processes of the system; 0.0.0.0 for every interface'),
	port: buildInteger(1, SETTING_BOUNDS.port).describe('Port to listen on for other processes of the system'),
	advertisedAddress: buildHttpAddress().optional()
		.describe('Where other processes reach this one, as http://IP:PORT; needed if `ip` is 0.0.0.0')
		.meta({defaultText: 'http://, then `ip` and `port`'}),
}).refine(isReachable, {
	path: ['advertisedAddress'],
	error: 'the address that peers connect to, as http://IP:PORT, because `ip` stands for every interface',
	when: () => true,
});

/**
Builds the schema of a listening socket.
*/
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {buildInteger} from './build-integer.js';
import {buildIp} from './build-ip.js';
import {buildSection} from './build-section.js';

/** The IP number and port of a listening socket. */
export const buildListen = () => buildSection({
	ip: buildIp().describe('IP number to listen on; 0.0.0.0 for every interface'),
	port: buildInteger(1, SETTING_BOUNDS.port).describe('Port to listen on'),
});

/**
Builds the schema of a listening socket.
*/
import {SETTING_BOUNDS} from '../setting-bounds.js';
import {buildIntegerSchema} from './build-integer-schema.js';
import {buildIpSchema} from './build-ip-schema.js';
import {buildSectionSchema} from './build-section-schema.js';

/** The IP address and port of a listening socket. */
export const buildListenSchema = () => buildSectionSchema({
	ip: buildIpSchema().describe('IP address to listen on; 0.0.0.0 for every interface'),
	port: buildIntegerSchema(1, SETTING_BOUNDS.port).describe('Port to listen on'),
});

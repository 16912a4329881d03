/**
The dialling side of the links between processes.
*/
import {connect} from 'node:net';
import {attachLink} from './attach-link.js';
import type {LinkSettings} from './link-settings.js';
import type {PeerLink} from './peer-link.js';

/** Opens a link over a connection of its own, so that a silent connection is never used twice. */
export const dialPeer = (address: string, settings: LinkSettings): PeerLink => {
	const {hostname, port} = new URL(address);
	return attachLink(connect({host: hostname, port: Number(port)}), settings);
};

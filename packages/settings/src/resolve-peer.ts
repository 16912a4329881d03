/**
Resolves the listener for other processes of the system.
*/
import {isIPv6} from 'node:net';

type PeerListener = {readonly ip: string; readonly port: number; readonly advertisedAddress?: string};

/** Derives the advertised address from the IP address and port if it is not given. */
export const resolvePeer = ({ip, port, advertisedAddress}: PeerListener): Required<PeerListener> => ({
	ip,
	port,
	advertisedAddress: advertisedAddress ?? `http://${isIPv6(ip) ? `[${ip}]` : ip}:${port}`,
});

/**
Resolves the listener for the system's own processes.
*/
import {isIPv6} from 'node:net';

type Peer = {readonly ip: string; readonly port: number; readonly advertisedAddress?: string};

/** Fills in the advertised address from the IP number and port. */
export const resolvePeer = ({ip, port, advertisedAddress}: Peer): Required<Peer> => ({
	ip,
	port,
	advertisedAddress: advertisedAddress ?? `http://${isIPv6(ip) ? `[${ip}]` : ip}:${port}`,
});

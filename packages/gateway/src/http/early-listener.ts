/**
A port that is open although nothing serves it yet.
*/
import type {Server, Socket} from 'node:net';

export type EarlyListener = {
	/** Holds the bound address; another server takes it over by listening on it. */
	readonly server: Server;
	/** Hands over each connection that this server accepted, from the first on; none of them has been read from. */
	readonly onConnection: (listener: (socket: Socket) => void) => void;
	/** Closes the port and the connections that wait, where nobody takes them over. */
	readonly close: () => void;
};

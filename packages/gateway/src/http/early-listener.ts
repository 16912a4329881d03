/**
A port that accepts connections before a server exists that handles them.
*/
import type {Server, Socket} from 'node:net';

export type EarlyListener = {
	/** Owns the bound address; another server takes it over by listening on this one. */
	readonly server: Server;
	/** Passes the listener every connection that this server has accepted or will accept. Nothing has been read from them, and they are paused. */
	readonly onConnection: (listener: (socket: Socket) => void) => void;
	/** Closes the port and the waiting connections; for a process that ends before a server takes them over. */
	readonly close: () => void;
};

/**
A TCP relay whose open connections can go silent without closing.
*/

/** Forwards connections from `port` to one target. */
export type TcpRelay = {
	readonly port: number;
	/** Permanently stops forwarding on every open connection; returns how many there were. */
	readonly silence: () => number;
	/** Refuses new connections, as a host does on which the process is not running. */
	readonly refuse: () => void;
	/** Accepts new connections again. */
	readonly accept: () => void;
	/** Stops listening and destroys every connection. */
	readonly close: () => void;
};

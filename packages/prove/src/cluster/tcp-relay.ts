/**
A TCP relay whose open connections can go silent without closing.
*/

/** Forwards connections from `port` to one target. */
export type TcpRelay = {
	readonly port: number;
	/** Stops forwarding on every open connection, for good; returns how many there were. */
	readonly silence: () => number;
	/** Refuses new connections, as a host without the process would. */
	readonly refuse: () => void;
	/** Accepts new connections again. */
	readonly accept: () => void;
	readonly close: () => void;
};

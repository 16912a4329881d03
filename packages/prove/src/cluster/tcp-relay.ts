/**
A relay that can go silent without closing.
*/

/** A relay before one address. */
export type TcpRelay = {
	readonly port: number;
	/** Stops forwarding on every open connection, for good; returns how many there were. */
	readonly silence: () => number;
	/** Refuses new connections, as a host without the process would. */
	readonly refuse: () => void;
	readonly accept: () => void;
	readonly close: () => void;
};

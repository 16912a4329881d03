/**
The HTTP server for callers, as the rest of a gateway sees it.
*/

export type GatewayServer = {
	/** Counts the requests whose answers have not ended. */
	readonly countActive: () => number;
	/** From now on, closes each connection after its current response. */
	readonly drain: () => void;
	/** Closes the port and the idle connections. Requests that are read whole from now on are late. */
	readonly stopListening: () => void;
	/** Counts the connections that were accepted so far. */
	readonly countAccepted: () => number;
	/** Counts the connections that are open. */
	readonly countConnections: () => number;
	/** Counts the connections that were closed because callers took too much, by reason. */
	readonly countClosed: () => Readonly<Record<string, number>>;
	/** Bytes that all requests take now, by their heads and bodies and a fixed cost of each. */
	readonly heldBytes: () => number;
	/** Bytes of unfinished heads and of what was sent ahead. */
	readonly unparsedBytes: () => number;
	/** Closes each connection without a request in flight; for the end of the process. */
	readonly closeSilent: () => void;
};

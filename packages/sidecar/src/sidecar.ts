/**
Handle of a running sidecar.
*/

/** Address of a sidecar and the means to stop it. */
export type Sidecar = {
	/** Address on which it accepts links, as `http://IP:PORT`. */
	readonly address: string;
	/** Announces the stop to its peers and waits for open runs; resolves to false if the grace period (`gracefulStopMs`) passed first. */
	readonly stop: () => Promise<boolean>;
};

/**
A running sidecar.
*/

/** Lets the process that started it stop it. */
export type Sidecar = {
	/** Where it listens for its peers, as `http://IP:PORT`. */
	readonly address: string;
	/** Says that it is leaving, finishes what it has, and resolves when nothing is left or the bound has passed; false then. */
	readonly stop: () => Promise<boolean>;
};

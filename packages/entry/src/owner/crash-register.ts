/**
Requests that were present when an upstream crashed.
*/

/** How a request with a given fingerprint may run. */
export type CrashRegister = {
	readonly judge: (fingerprint: string) => 'normal' | 'alone' | 'quarantine';
	readonly noteCrash: (fingerprint: string, wasAlone: boolean) => void;
	/** A request that ran to its end is no longer suspected. */
	readonly noteSuccess: (fingerprint: string) => void;
	/** Takes over what another owner has seen. */
	readonly merge: (fingerprint: string, crashesAlone: number) => void;
};

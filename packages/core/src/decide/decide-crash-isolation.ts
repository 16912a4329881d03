/**
Decides how to run a call after upstreams crashed during its earlier attempts.
*/

type CrashRecord = {
	/** Crashes of an upstream while the call ran together with others. */
	readonly shared: number;
	/** Crashes of an upstream while the call ran alone. */
	readonly alone: number;
};

/** After a crash with other calls running, the call runs alone. After a crash while it ran alone, it is the cause and is quarantined. */
export const decideCrashIsolation = (crashes: CrashRecord): 'normal' | 'alone' | 'quarantine' => {
	if (crashes.alone > 0) {
		return 'quarantine';
	}

	return crashes.shared > 0 ? 'alone' : 'normal';
};

/**
Decides how a call runs whose earlier attempts met crashes of their upstream.
*/

type CrashRecord = {
	/** Crashes of an upstream while the call ran beside others. */
	readonly shared: number;
	/** Crashes of an upstream while the call ran alone. */
	readonly alone: number;
};

/** A call that was present at a crash runs alone next; a crash alone convicts it. */
export const decideSuspect = (crashes: CrashRecord): 'normal' | 'alone' | 'quarantine' => {
	if (crashes.alone > 0) {
		return 'quarantine';
	}

	return crashes.shared > 0 ? 'alone' : 'normal';
};

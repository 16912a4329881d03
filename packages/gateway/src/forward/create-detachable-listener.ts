/**
Makes a listener that can be detached from what it does, for objects that keep their
listeners for longer than it is needed: after that nothing that it refers to is kept.
*/
type DetachableListener = {
	readonly listen: () => void;
	/** From now on `listen` does nothing. */
	readonly detach: () => void;
};

export const createDetachableListener = (listener: () => void): DetachableListener => {
	let current: (() => void) | undefined = listener;
	return {
		listen() {
			current?.();
		},
		detach() {
			current = undefined;
		},
	};
};

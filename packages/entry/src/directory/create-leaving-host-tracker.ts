/**
Tracks the hosts whose processes report in heartbeats that they are leaving. The
platform's list shows the same seconds later.
*/

/** The part of a link's hello that identifies the process at the other end. */
type RemoteProcess = {readonly host: string; readonly instance: string};

/** Creates an empty tracker. */
export const createLeavingHostTracker = () => {
	const instances = new Map<string, string>();
	return {
		/** Records a heartbeat. A host stops leaving with the first heartbeat of its next process. */
		recordHeartbeat({host, instance}: RemoteProcess, isLeaving: boolean): void {
			if (isLeaving) {
				instances.set(host, instance);
			} else if (instances.get(host) !== instance) {
				instances.delete(host);
			}
		},
		isLeaving: (host: string): boolean => instances.has(host),
	};
};

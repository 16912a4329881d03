/**
Remembers which hosts' processes say that they leave, which the platform's list
tells seconds later.
*/

/** What a link's hello says of the other side. */
type Speaker = {readonly host: string; readonly instance: string};

export const createLeavingHosts = () => {
	const instances = new Map<string, string>();
	return {
		/** Each heartbeat of a process; a host is back with the first of its next process. */
		note({host, instance}: Speaker, isLeaving: boolean): void {
			if (isLeaving) {
				instances.set(host, instance);
			} else if (instances.get(host) !== instance) {
				instances.delete(host);
			}
		},
		isLeaving: (host: string): boolean => instances.has(host),
	};
};

/**
Sets the list of hosts that the platform stand-in serves.
*/

/** Replaces the whole list at once. */
export const publishHosts = async (platformAddress: string, hosts: readonly unknown[]): Promise<void> => {
	await fetch(`${platformAddress}/hosts`, {method: 'PUT', body: JSON.stringify(hosts)});
};

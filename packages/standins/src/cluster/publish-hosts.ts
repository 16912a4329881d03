/**
Sets the stand-in platform's list of hosts.
*/

/** Replaces the whole list at once. */
export const publishHosts = async (platformAddress: string, hosts: readonly unknown[]): Promise<void> => {
	await fetch(`${platformAddress}/hosts`, {method: 'PUT', body: JSON.stringify(hosts)});
};

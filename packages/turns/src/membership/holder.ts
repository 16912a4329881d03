/**
A holder: a disk that stores copies of turns and token uses, with the host and
the address of the process that serves it.
*/

/** `diskId` is a random id that is generated on the empty disk, so another disk at the same address is another holder. */
export type Holder = {
	readonly diskId: string;
	readonly host: string;
	/** `http://IP:PORT` on which the holder listens for its peers. */
	readonly address: string;
	readonly dataCentre: string;
};

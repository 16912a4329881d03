/**
A disk that holds copies of turns and token uses.
*/

/** `diskId` is random and made on the empty disk: another disk at the same address is another holder. */
export type Holder = {
	readonly diskId: string;
	readonly host: string;
	/** `http://IP:PORT` where the holder listens for its peers. */
	readonly address: string;
};

/**
An entry that clients may ask.
*/

/** `address` is `http://IP:PORT`. */
export type EntryTarget = {readonly name: string; readonly address: string};

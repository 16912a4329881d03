/**
Hashes a caller's key, so that no part of the system has to hold the key itself.
*/
import {hash} from 'node:crypto';
import type {KeyHash} from './key-hash.js';

/** Returns the SHA-256 of the key's bytes. Keys are long random words, so no salt is needed. */
export const hashKey = (key: Uint8Array): KeyHash => hash('sha256', key, 'hex') as KeyHash;

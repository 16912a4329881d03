/**
The checksum at the start of each line of the log.
*/
import {crc32} from 'node:zlib';

const CHECKSUM_HEX_DIGITS = 8;

/** CRC-32 as eight hex digits. */
export const computeChecksum = (bytes: Uint8Array): string => crc32(bytes).toString(16).padStart(CHECKSUM_HEX_DIGITS, '0');

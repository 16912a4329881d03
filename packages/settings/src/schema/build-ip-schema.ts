/**
Builds the schema of an IP address.
*/
import {isIP} from 'node:net';
import * as z from 'zod';

const IP_ERROR = 'an IP address such as 10.0.0.7, not a host name';

/** An IPv4 or IPv6 address. */
export const buildIpSchema = () => z.string({error: IP_ERROR}).refine(text => isIP(text) !== 0, {error: IP_ERROR});

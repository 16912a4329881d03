/**
Builds the schema of the HTTP address of a process.
*/
import * as z from 'zod';
import {isHttpAddress} from './is-http-address.js';

const ADDRESS_ERROR = 'an address of the form http://IP:PORT with an IP address, such as http://10.0.0.7:7100, and no path';

/** An address of the form `http://IP:PORT`. */
export const buildHttpAddressSchema = () => z.string({error: ADDRESS_ERROR}).refine(isHttpAddress, {error: ADDRESS_ERROR});

/**
Builds the schema of an address of a process.
*/
import * as z from 'zod';
import {isHttpAddress} from './is-http-address.js';

const ADDRESS_ERROR = 'an address of the form http://IP:PORT with an IP number, such as http://10.0.0.7:7100, and no path';

/** An address of the form `http://IP:PORT`. */
export const buildHttpAddress = () => z.string({error: ADDRESS_ERROR}).refine(isHttpAddress, {error: ADDRESS_ERROR});

/**
Schemas of the request bodies of the platform's service, in the format of the
etcd v3 gRPC gateway: keys and values are base64, 64-bit integers are strings.
*/
import {Buffer} from 'node:buffer';
import {z} from 'zod';

const base64Text = z.base64().transform(text => Buffer.from(text, 'base64').toString('utf8'));
const int64 = z.union([z.string().regex(/^\d+$/v), z.number().int()]).transform(Number);
const range = z.object({key: base64Text, range_end: base64Text.optional()});
const put = z.object({key: base64Text, value: base64Text, lease: z.union([z.string(), z.number()]).transform(String).optional()});
const operation = z.union([
	z.object({request_put: put}),
	z.object({request_range: range}),
]);

/** One schema per request; parsing decodes base64 text and converts integers to numbers. */
export const platformRequestSchemas = {
	range,
	txn: z.object({
		compare: z.array(z.object({
			key: base64Text,
			target: z.literal('VERSION'),
			result: z.literal('EQUAL'),
			version: int64,
		})).length(1),
		success: z.array(operation).min(1),
		failure: z.array(operation).default([]),
	}),
	leaseGrant: z.object({TTL: int64}),
	leaseId: z.object({ID: z.union([z.string(), z.number()]).transform(String)}),
	watch: z.object({
		create_request: z.object({
			key: base64Text,
			range_end: base64Text.optional(),
			start_revision: int64.optional(),
		}),
	}),
};

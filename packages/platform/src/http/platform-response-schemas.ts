/**
Schemas of the responses of the platform's service. `/v3` follows the etcd v3
gRPC gateway; `/hosts` is the service's own.
*/
import {Buffer} from 'node:buffer';
import * as z from 'zod';
import type {KeyValue} from '../key-value.js';

// The gateway omits fields that have the zero value of their type.
const int64 = z.union([z.string().regex(/^\d+$/v), z.number().int()]).default('0').transform(Number);
const base64Text = z.base64().default('').transform(text => Buffer.from(text, 'base64').toString('utf8'));

const keyValue = z.object({key: base64Text, value: base64Text, version: int64})
	.transform(({key, value, version}): KeyValue => ({key, value, version}));
const range = z.object({kvs: z.array(keyValue).default([])});

/** Each schema parses the response to one kind of call. */
export const platformResponseSchemas = {
	range,
	txn: z.object({
		succeeded: z.boolean().default(false),
		responses: z.array(z.object({response_range: range.optional()})).default([]),
	}).transform(({succeeded, responses}) => ({
		succeeded,
		/** The key's record after the transaction; absent if the key is. */
		current: responses.find(response => response.response_range)?.response_range?.kvs[0],
	})),
	leaseGrant: z.object({ID: z.union([z.string(), z.number()]).transform(String)}),
	keepalive: z.object({result: z.object({TTL: int64})}),
	watch: z.object({
		result: z.object({
			header: z.object({revision: int64}),
			events: z.array(z.object({kv: keyValue})).default([]),
		}),
	}),
	hosts: z.array(z.object({
		id: z.string(),
		role: z.enum(['entry', 'sidecar']),
		peerAddress: z.string(),
		dataCentre: z.string(),
		state: z.enum(['live', 'leaving']),
		holdsHistory: z.boolean().optional(),
		upstream: z.object({
			id: z.string(),
			kind: z.enum(['model', 'service']),
			target: z.string(),
		}).optional(),
	})),
};

/**
How the parts of an entry send requests to peers and to the entry itself.
*/
import type {Result} from 'neverthrow';
import type {Body} from '@siskinhub/peer/body.js';
import type {BodyInit} from '@siskinhub/peer/body-init.js';
import type {CallOptions} from '@siskinhub/peer/call-options.js';
import type {LinkError} from '@siskinhub/peer/link-error.js';

/** Sends one message to the process at `address` and waits for its reply. A message to the entry's own address is handled within the process. */
export type AskPeer = (address: string, body: BodyInit, options: CallOptions) => Promise<Result<Body, LinkError>>;

/**
How the parts of an entry send requests to peers and to the entry itself.
*/
import type {Result} from 'neverthrow';
import type {MessageBody} from '@siskinhub/peer/message-body.js';
import type {MessageBodyInit} from '@siskinhub/peer/message-body-init.js';
import type {CallOptions} from '@siskinhub/peer/call-options.js';
import type {LinkError} from '@siskinhub/peer/link-error.js';

/** Sends one message to the process at `address` and waits for its reply. A message to the entry's own address is handled within the process. */
export type AskPeer = (address: string, body: MessageBodyInit, options: CallOptions) => Promise<Result<MessageBody, LinkError>>;

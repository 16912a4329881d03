/**
An upstream of a deployment with the sidecar beside it.
*/
import type {ManagedProcess} from './managed-process.js';

/** `address` is where the upstream itself listens, past any relay. */
export type UpstreamNode = {
	readonly id: string;
	readonly kind: 'model' | 'service';
	readonly target: string;
	readonly address: string;
	readonly upstream: ManagedProcess;
	readonly sidecar: ManagedProcess;
};

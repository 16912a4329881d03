/**
One upstream of a deployment.
*/
import type {ManagedProcess} from './managed-process.js';

/** The processes of an upstream and its sidecar. */
export type UpstreamNode = {
	readonly id: string;
	readonly kind: 'model' | 'service';
	/** The model or service that the upstream serves. */
	readonly target: string;
	/** Where the upstream itself listens, not a relay before it. */
	readonly address: string;
	readonly upstream: ManagedProcess;
	readonly sidecar: ManagedProcess;
};

/**
A request that has been routed and is ready to be sent to upstreams.
*/
import type {CallHead} from '../call/call-head.js';
import type {StreamOrigin} from '../origins/stream-origin.js';
import type {Route} from '../routes/route.js';
import type {Workspace} from '../workspaces/workspace.js';

/** Times are wall-clock times (`Date.now()`), in milliseconds. */
export type CallPlan = {
	readonly call: CallHead;
	readonly route: Route;
	readonly service: string;
	/** Of the caller; absent where the route is open or the deployment declares none. */
	readonly workspace?: Workspace | undefined;
	/** Set where the deployment declares no workspaces: what the caller's headers say of keys and workspaces is then none of its business. */
	readonly passesCredentials?: boolean | undefined;
	/** Only upstreams with this software may run the request, which takes up a stream. */
	readonly origin?: StreamOrigin;
	/** The body sent to the upstream. */
	readonly body: Uint8Array;
	readonly arrivedAt: number;
	/** The caller's deadline or the route's timeout, whichever is earlier. */
	readonly deadlineAt: number;
};

/**
Applies changes of the declared state to the route table and the upstream
directory of this process.
*/
import type {DeclaredView} from '@siskinhub/declared/declared-view.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {RouteTable} from '../routes/route-table.js';
import type {UpstreamDirectory} from '../upstreams/upstream-directory.js';
import type {DeclaredKeys} from './declared-keys.js';

type ApplyOptions = {
	readonly view: DeclaredView;
	readonly keys: DeclaredKeys;
	readonly routes: RouteTable;
	readonly directory: UpstreamDirectory;
	readonly log: Logger;
};

/** Subscribes to the view and applies every change from then on. A revision of the routes that cannot be decoded leaves the last valid one in force. */
export const applyDeclaredState = ({view, keys, routes, directory, log}: ApplyOptions): void => {
	view.onChange(entry => {
		const fact = keys.decode(entry);
		switch (fact.kind) {
			case 'routes': {
				const {routes: next} = fact;
				if (next.isErr()) {
					log.error('failed to decode the declared routes; keeping the last valid revision', {revision: entry.revision, reason: next.error});
				} else if (routes.replace(next.value)) {
					log.info('declared routes applied', {version: next.value.version, revision: entry.revision, routes: next.value.routes.length});
				}

				break;
			}

			case 'upstream': {
				const {id, upstream} = fact;
				if (!upstream) {
					log.info('upstream removed', {upstream: id, revision: entry.revision});
					directory.remove(id);
				} else if (upstream.isOk()) {
					const held = directory.get(id);
					directory.update(upstream.value);
					const current = directory.get(id);
					if (held?.isLeaving !== current?.isLeaving || held?.bornAtMs !== current?.bornAtMs) {
						log.info('upstream added or changed', {
							upstream: id, isLeaving: current?.isLeaving, bornAtMs: current?.bornAtMs, revision: entry.revision,
						});
					}
				}

				break;
			}

			case 'other': {
				break;
			}
		}
	});
};

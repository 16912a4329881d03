/**
What a proof point works with during one run.
*/
import type {Random} from '@siskinhub/core/decide/random.js';
import type {EntryClient} from '../client/entry-client.js';
import type {Cluster} from '../cluster/cluster.js';
import type {Recorder} from '../history/recorder.js';

/** Created for each run. */
export type ProofContext = {
	readonly cluster: Cluster;
	readonly recorder: Recorder;
	readonly client: EntryClient;
	/** Creates an independent random source for each name, derived from the seed of the run. */
	readonly createRandom: (name: string) => Random;
	/** How long clients begin new turns. */
	readonly seconds: number;
};

/**
What a proof works with.
*/
import type {Random} from '@siskinhub/core/decide/random.js';
import type {EntryClient} from '../client/entry-client.js';
import type {Cluster} from '../cluster/cluster.js';
import type {Recorder} from '../history/recorder.js';

/** Made anew for each run. */
export type ProofContext = {
	readonly cluster: Cluster;
	readonly recorder: Recorder;
	readonly client: EntryClient;
	/** A source of its own for each name, drawn from the run's seed. */
	readonly createRandom: (name: string) => Random;
	readonly seconds: number;
};

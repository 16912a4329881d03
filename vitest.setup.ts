/**
Fixes the seed of property tests, so that runs are reproducible.
`FAST_CHECK_SEED=N npm test` uses another seed.
*/
import process from 'node:process';
import {fc} from '@fast-check/vitest';

const DEFAULT_SEED = 20_261_204;

fc.configureGlobal({seed: Number(process.env.FAST_CHECK_SEED ?? DEFAULT_SEED)});

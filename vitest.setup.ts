/**
Fixes the seed of property tests, so that a run says the same every time.
`FAST_CHECK_SEED=N npm test` tries another one.
*/
import process from 'node:process';
import {fc} from '@fast-check/vitest';

const DEFAULT_SEED = 20_261_204;

fc.configureGlobal({seed: Number(process.env.FAST_CHECK_SEED ?? DEFAULT_SEED)});

/**
Sends calls before a measurement, so that the runtime has compiled the code they
use and the first point of a series costs no more than the others.
*/
import type {createProgramPool} from './create-program-pool.js';
import {runConcurrently} from './run-concurrently.js';

const CALLS = 1500;
const CONCURRENCY = 48;

type Pool = ReturnType<typeof createProgramPool>;

/** Resolves when all calls are complete. */
export const warmUp = async (pool: Pool, plan: Parameters<Pool['call']>[0]): Promise<void> => runConcurrently(CALLS, CONCURRENCY, async () => pool.call(plan));

/**
Lets the runtime compile what the calls run through, so that the first point of
a series costs no more than the others.
*/
import type {createProgramPool} from './create-program-pool.js';
import {runTogether} from './run-together.js';

const CALLS = 1500;
const AT_ONCE = 48;

type Pool = ReturnType<typeof createProgramPool>;

/** Resolves when all calls were answered. */
export const warmUp = async (pool: Pool, plan: Parameters<Pool['call']>[0]): Promise<void> => runTogether(CALLS, AT_ONCE, async () => pool.call(plan));

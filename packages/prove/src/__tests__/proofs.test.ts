/**
Runs a short fixed set of seeds in CI against the built bundles; `npm run soak`
runs random seeds for longer.
*/
import {existsSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {expect, test} from 'vitest';
import {formatVerdict} from '../format-verdict.js';
import {listPoints} from '../points/list-points.js';
import {runProof} from '../run-proof.js';

const ROOT = process.cwd();
const SECONDS = 3;
const TIMEOUT_MS = 60_000;
// The other points take longer and run only in the soak, so that these take less than a minute together.
const SEEDS = {
	'at-most-once': 1, order: 1, 'whole-answer': 1, 'crashing-request': 1,
};

test('the bundles are built', () => {
	expect(existsSync(path.join(ROOT, 'packages/entry/dist/siskinhub-entry.js')), 'run npm run build first').toBe(true);
});

test.each(Object.entries(SEEDS))('%s holds with seed %i', async (name, seed) => {
	const point = listPoints().find(candidate => candidate.name === name)!;
	const verdict = await runProof(point, {
		root: ROOT, seed, seconds: SECONDS, shouldKeepLogs: false,
	});
	expect(verdict.violations, formatVerdict(verdict)).toEqual([]);
	expect(verdict.operations).toBeGreaterThan(10);
}, TIMEOUT_MS);

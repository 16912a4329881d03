/**
Reads from the deployment file the flags of Node that a daemon is started with.
*/
import {readFileSync} from 'node:fs';

const DEPLOY_FILE = 'deploy/system.toml';

/** `binary` is the daemon's file name without extension; arguments after it are not read. Throws if the file has no line for it. */
export const readNodeFlags = (binary: string): readonly string[] => {
	const line = new RegExp(`run = "node (.*) target/${binary}\\.cjs(?: .*)?"`, 'v').exec(readFileSync(DEPLOY_FILE, 'utf8'));
	if (!line) {
		throw new Error(`${DEPLOY_FILE}: no line 'run = "node ... target/${binary}.cjs"', so the flags of the daemon are unknown. Add the line.`);
	}

	return line[1]!.split(' ');
};

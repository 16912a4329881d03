/**
Flags of Node that the deployment starts a daemon with.
*/
import {readFileSync} from 'node:fs';

const DEPLOY_FILE = 'deploy/system.toml';

/** `binary` is the name of its file, without an extension. */
export const readNodeFlags = (binary: string): readonly string[] => {
	const line = new RegExp(`run = "node (.*) target/${binary}\\.cjs"`, 'v').exec(readFileSync(DEPLOY_FILE, 'utf8'));
	if (!line) {
		throw new Error(`${DEPLOY_FILE}: no line 'run = "node ... target/${binary}.cjs"'. Which flags should the daemon start with?`);
	}

	return line[1]!.split(' ');
};

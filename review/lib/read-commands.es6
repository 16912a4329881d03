/**
Reads from the deploy file with which command each role is started.
*/
import {readFileSync} from 'node:fs';
import path from 'node:path';

/** Returns the words of each role's command by the name of the role. */
export const readCommands = root => {
	const text = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8');
	const commands = {};
	for (const [, role, body] of text.matchAll(/^\[roles\.(\w+)\]\n((?:(?!\[).*\n?)*)/gmv)) {
		const [, run] = /^run = "([^"]+)"/mv.exec(body);
		commands[role] = run.split(' ');
	}

	return commands;
};

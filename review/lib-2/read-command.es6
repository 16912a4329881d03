/**
Reads the command of a role from the deploy file.
*/
import {readFileSync} from 'node:fs';

/** Returns the program and its arguments, split at spaces as the platform does. */
export const readCommand = role => {
	const sections = readFileSync('deploy/system.toml', 'utf8').split(/^\[/mv);
	const section = sections.find(each => each.startsWith(`roles.${role}]`));
	return /^run = "(?<run>[^"]+)"/mv.exec(section).groups.run.split(' ');
};

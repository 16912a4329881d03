/**
Words for a command that does not exist.
*/

// Oclif names a missing command by its id, with colons, and has no type for it.
const MESSAGE_PATTERN = /^command (?<id>\S+) not found$/v;

/** Returns `undefined` for every other error. */
export const describeUnknownCommand = (error: unknown): string | undefined => {
	const id = error instanceof Error ? MESSAGE_PATTERN.exec(error.message)?.groups?.id : undefined;
	return id === undefined ? undefined : `There is no command "${id.replaceAll(':', ' ')}". "siskinhub --help" lists the commands.`;
};

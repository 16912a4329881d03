/**
Recognises oclif's error for a command that does not exist and words it for
operators.
*/

// Oclif has no error class for a missing command; its message gives the command's id, with colons.
const MESSAGE_PATTERN = /^command (?<id>\S+) not found$/v;

/** Returns `undefined` for any other error. */
export const describeUnknownCommand = (error: unknown): string | undefined => {
	const id = error instanceof Error ? MESSAGE_PATTERN.exec(error.message)?.groups?.id : undefined;
	return id === undefined ? undefined : `There is no command "${id.replaceAll(':', ' ')}". "siskinhub --help" lists the commands.`;
};

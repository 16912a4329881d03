/**
Exit codes of the `siskinhub` command.
*/

/** `FAILED`: refused or not done. `USAGE`: the command line, a table file or the command's own settings file is invalid. `UNKNOWN`: it could not be determined whether an edit took effect. */
export const EXIT_CODE = {
	FAILED: 1,
	USAGE: 2,
	UNKNOWN: 3,
} as const;

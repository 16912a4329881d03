/**
Exit codes of the `siskinhub` command.
*/

/** `FAILED`: refused or not done. `USAGE`: the command line itself is wrong. `UNKNOWN`: whether an edit took effect could not be found out. */
export const EXIT_CODE = {
	FAILED: 1,
	USAGE: 2,
	UNKNOWN: 3,
} as const;

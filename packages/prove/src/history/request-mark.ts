/**
Builds and parses marks, which name logical requests so that any record of one can
be traced to its program and turn.
*/

const MARK_PATTERN = /^(?<alias>[\w\-]+)\.t(?<turn>\d+)\.r(?<request>\d+)$/v;

/** A mark is also the request id that the client sends. */
export const requestMark = {
	build: (alias: string, turn: number, request: number): string => `${alias}.t${turn}.r${request}`,
	/** Returns `undefined` if the text is not a mark. */
	parse(mark: string): {readonly alias: string; readonly turn: number} | undefined {
		const groups = MARK_PATTERN.exec(mark)?.groups;
		return groups ? {alias: groups.alias ?? '', turn: Number(groups.turn)} : undefined;
	},
};

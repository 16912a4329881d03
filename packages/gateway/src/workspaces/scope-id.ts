/**
Sets the ids of programs and turns of one workspace apart from those of all others.

Ids are chosen by callers, so two workspaces may choose the same. A caller cannot name
an id of another scope: no id in a header can hold the separator.
*/

const SEPARATOR = '\0';

/** `scope` is absent where no workspaces are declared; ids then stay as they are. */
export const scopeId = (scope: string | undefined, id: string): string => scope === undefined ? id : `${scope}${SEPARATOR}${id}`;


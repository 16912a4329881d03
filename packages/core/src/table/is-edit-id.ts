/**
Checks the ids of edits, which editors choose.
*/

const EDIT_ID_PATTERN = /^[\w.:\-]{1,128}$/v;

/** Whether the text is a valid edit id: 1 to 128 letters, digits, underscores, dots, colons and hyphens. */
export const isEditId = (text: string): boolean => EDIT_ID_PATTERN.test(text);

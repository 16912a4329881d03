/**
Checks ids that editors choose.
*/

const EDIT_ID_PATTERN = /^[\w.:\-]{1,128}$/v;

/** Whether the text may name an edit. */
export const isEditId = (text: string): boolean => EDIT_ID_PATTERN.test(text);

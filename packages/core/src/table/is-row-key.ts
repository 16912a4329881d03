/**
Recognises the names of rows.
*/
import type {RowKey} from './row-key.js';

const ROW_KEY_PATTERN = /^(?:deployment|kind|workspace)\/[\p{L}\p{N}][\p{L}\p{N}._\-]{0,62}$/v;

/** Whether the text is `deployment/NAME`, `kind/NAME` or `workspace/NAME`; NAME has 1 to 63 letters, digits, dots, hyphens and underscores and begins with a letter or digit. */
export const isRowKey = (text: string): text is RowKey => ROW_KEY_PATTERN.test(text);

/**
Recognises the names of rows.
*/
import type {RowKey} from './row-key.js';

// Names travel in HTTP headers, so they are ASCII.
const ROW_KEY_PATTERN = /^(?:deployment|kind|workspace)\/[A-Za-z0-9][\w.\-]{0,62}$/v;

/** Whether the text is `deployment/NAME`, `kind/NAME` or `workspace/NAME`; NAME has 1 to 63 letters without accents, digits, dots, hyphens and underscores and begins with a letter or digit. */
export const isRowKey = (text: string): text is RowKey => ROW_KEY_PATTERN.test(text);

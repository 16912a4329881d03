/**
Checks the keys of rows.
*/
import type {RowKey} from './row-key.js';

// Row names are sent in HTTP headers, so they are restricted to ASCII.
const ROW_KEY_PATTERN = /^(?:deployment|kind|workspace)\/[A-Za-z0-9][\w.\-]{0,62}$/v;

/** Whether the text is `deployment/NAME`, `kind/NAME` or `workspace/NAME`. NAME consists of 1 to 63 ASCII letters, digits, dots, hyphens and underscores and begins with a letter or digit. */
export const isRowKey = (text: string): text is RowKey => ROW_KEY_PATTERN.test(text);

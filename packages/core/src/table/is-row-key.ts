/**
Recognises the names of rows.
*/
import type {RowKey} from './row-key.js';

// Names travel in HTTP headers, so they are ASCII.
const ROW_KEY_PATTERN = /^(?:deployment|kind|workspace)\/[\w.\-]{1,64}$/v;

/** Whether the text is `deployment/NAME`, `kind/NAME` or `workspace/NAME`; NAME has 1 to 64 letters without accents, digits, dots, hyphens and underscores. */
export const isRowKey = (text: string): text is RowKey => ROW_KEY_PATTERN.test(text);

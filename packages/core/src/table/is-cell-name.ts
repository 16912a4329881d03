/**
Recognises the names of cells.
*/
import type {CellName} from './cell-name.js';
import {CELL_RULES} from './cell-rules.js';

/** Whether the text names a cell that the system enforces. */
export const isCellName = (text: string): text is CellName => Object.hasOwn(CELL_RULES, text);

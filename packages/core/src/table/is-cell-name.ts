/**
Checks the names of cells.
*/
import type {CellName} from './cell-name.js';
import {CELL_RULES} from './cell-rules.js';

/** Whether the text is the name of a cell. */
export const isCellName = (text: string): text is CellName => Object.hasOwn(CELL_RULES, text);

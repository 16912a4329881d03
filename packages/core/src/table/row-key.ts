/**
Identifies a row of the operators' table.
*/
import type {Brand} from '../brand.js';

/** `deployment/NAME`, `kind/NAME` or `workspace/NAME`. */
export type RowKey = Brand<string, 'RowKey'>;

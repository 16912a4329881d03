/**
Service that the rows have had from one upstream, for sharing by weight.
*/
import type {RowKey} from '../table/row-key.js';

/** Normalised service (slot milliseconds over weight) for each row that has been served. */
export type RowService = ReadonlyMap<RowKey, number>;

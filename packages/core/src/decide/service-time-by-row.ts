/**
The service that each row has received from one upstream, for weighted sharing.
*/
import type {RowKey} from '../table/row-key.js';

/** Normalised service (slot time in milliseconds divided by the row's weight) of each row that has been served. */
export type ServiceTimeByRow = ReadonlyMap<RowKey, number>;

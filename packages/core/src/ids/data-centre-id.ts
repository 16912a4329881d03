/**
Identifies a data centre.
*/
import type {Brand} from '../brand.js';

/** The id of a data centre, as given in the settings. */
export type DataCentreId = Brand<string, 'DataCentreId'>;

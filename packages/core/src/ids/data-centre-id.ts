/**
Names a data centre.
*/
import type {Brand} from '../brand.js';

/** The id of a data centre, as settings give it. */
export type DataCentreId = Brand<string, 'DataCentreId'>;

/**
Identifies a customer of the deployment.
*/
import type {Brand} from '../brand.js';

/** The name of a workspace row in the table, without its prefix. */
export type WorkspaceId = Brand<string, 'WorkspaceId'>;

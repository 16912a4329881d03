/**
Names a customer of the deployment.
*/
import type {Brand} from '../brand.js';

/** The id of a workspace row in the table. */
export type WorkspaceId = Brand<string, 'WorkspaceId'>;

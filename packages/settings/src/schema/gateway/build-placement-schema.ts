/**
Builds the schema of the section `placement`.
*/
import * as z from 'zod';
import {buildSectionSchema} from '../build-section-schema.js';

export const buildPlacementSchema = () => buildSectionSchema({
	learnsSpeed: z.boolean({error: 'true or false'}).default(true)
		.describe('Whether the speed of each upstream is learned from its answers and goes into the choice of upstreams'),
}).prefault({}).describe('The choice of upstreams');

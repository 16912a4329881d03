/**
Builds the schema of the section `extraCopies`.
*/
import * as z from 'zod';
import {buildSectionSchema} from '../build-section-schema.js';

const SHARE_ERROR = 'a number from 0 to 0.5';
const QUANTILE_ERROR = 'a number from 0.5 to 0.999';

export const buildExtraCopiesSchema = () => buildSectionSchema({
	maxShare: z.number({error: SHARE_ERROR}).min(0, {error: SHARE_ERROR}).max(0.5, {error: SHARE_ERROR}).default(0)
		.describe('Largest share of extra sends among the sends of plain requests that may be repeated; 0 for none'),
	quantile: z.number({error: QUANTILE_ERROR}).min(0.5, {error: QUANTILE_ERROR}).max(0.999, {error: QUANTILE_ERROR}).default(0.95)
		.describe('Quantile of the usual wait for an answer after which an extra copy is sent'),
}).prefault({}).describe('Extra copies of plain requests that may be repeated, sent to a second upstream when the first one is slow');

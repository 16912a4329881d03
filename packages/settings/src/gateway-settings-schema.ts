/**
Schema of the product's own settings of the gateways of a deployment.
*/
import {buildSectionSchema} from './schema/build-section-schema.js';
import {buildCallersSchema} from './schema/gateway/build-callers-schema.js';
import {buildExtraCopiesSchema} from './schema/gateway/build-extra-copies-schema.js';
import {buildPlacementSchema} from './schema/gateway/build-placement-schema.js';

/** Everything has a default, so that a deployment without such a file is served. */
export const GatewaySettingsSchema = buildSectionSchema({
	placement: buildPlacementSchema(),
	extraCopies: buildExtraCopiesSchema(),
	callers: buildCallersSchema(),
});

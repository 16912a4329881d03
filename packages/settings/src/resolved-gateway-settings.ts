/**
The settings of a gateway with their defaults.
*/
import type * as z from 'zod';
import type {GatewaySettingsSchema} from './gateway-settings-schema.js';

/** Read once at the start of the process. */
export type ResolvedGatewaySettings = z.output<typeof GatewaySettingsSchema>;

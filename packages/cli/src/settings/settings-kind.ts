/**
The kinds of settings files, by the binary that reads them.
*/

/** In this order: `siskinhub-entry`, `siskinhub-sidecar`, the `siskinhub` command, the daemons on a machine of the platform, the product's settings of `siskinhub-gateway`. */
export type SettingsKind = 'entry' | 'sidecar' | 'command' | 'machine' | 'gateway';

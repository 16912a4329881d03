/**
Kinds of settings files.
*/

/** For `siskinhub-entry`, `siskinhub-sidecar`, the `siskinhub` command, or the daemons of a machine of the platform. */
export type SettingsKind = 'entry' | 'sidecar' | 'command' | 'machine';

/**
Kinds of settings files.
*/

/** For `siskinhub-entry`, `siskinhub-sidecar`, or the `siskinhub` command. */
export type SettingsKind = 'entry' | 'sidecar' | 'command';

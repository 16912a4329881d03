/**
Detects which binary a settings file is for, by its keys.
*/
import {isMap, parseDocument} from 'yaml';
import type {SettingsKind} from './settings-kind.js';

// Keys that only one of the schemas has.
const DISTINCTIVE_KEYS = [
	['upstream', 'sidecar'],
	['entries', 'command'],
	['http', 'entry'],
	['platform', 'entry'],
	['dataFolder', 'entry'],
	['placement', 'gateway'],
	['extraCopies', 'gateway'],
	['callers', 'gateway'],
] as const;

/** Returns `undefined` if the file has none of the distinctive keys. */
export const detectSettingsKind = (text: string): SettingsKind | undefined => {
	const {contents} = parseDocument(text, {prettyErrors: false});
	return isMap(contents) ? DISTINCTIVE_KEYS.find(([key]) => contents.has(key))?.[1] : undefined;
};

/**
Recognises which binary a settings file is for.
*/
import {isMap, parseDocument} from 'yaml';
import type {SettingsKind} from './settings-kind.js';

// Keys that only one of the schemas has.
const TELLING_KEYS = [
	['upstream', 'sidecar'],
	['entries', 'command'],
	['http', 'entry'],
	['platform', 'entry'],
	['dataFolder', 'entry'],
] as const;

/** Returns `undefined` where the keys do not tell. */
export const detectSettingsKind = (text: string): SettingsKind | undefined => {
	const {contents} = parseDocument(text, {prettyErrors: false});
	return isMap(contents) ? TELLING_KEYS.find(([key]) => contents.has(key))?.[1] : undefined;
};

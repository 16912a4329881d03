/**
Loads the rows of the table from a YAML file in version control.
*/
import type {Result} from 'neverthrow';
import type {RowKey} from '@siskinhub/core/table/row-key.js';
import type {ConfigError} from '@siskinhub/settings/config-error.js';
import {loadConfigFromFile} from '@siskinhub/settings/load-config-from-file.js';
import type {DeclaredRows} from './declared-rows.js';
import type {RowCells} from './row-cells.js';
import {TableFileSchema} from './table-file-schema.js';

/** The `Err` value lists every error in the file with its line. */
export const loadTableFile = async (path: string): Promise<Result<DeclaredRows, readonly ConfigError[]>> => {
	const file = await loadConfigFromFile(path, TableFileSchema);
	return file.map(groups => new Map(Object.entries(groups).flatMap(([kind, rows]) =>
		Object.entries(rows ?? {}).map(([name, cells]) => [`${kind}/${name}` as RowKey, (cells ?? {}) as RowCells]))));
};

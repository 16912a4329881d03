import {expect, test} from 'vitest';
import {CliSettingsSchema} from '../cli-settings-schema.js';
import {formatConfigError} from '../format-config-error.js';
import {loadConfigFromFile} from '../load-config-from-file.js';

test('a missing file gives one line that names it', async () => {
	const result = await loadConfigFromFile('no-such-folder/cli.yaml', CliSettingsSchema);
	expect(result._unsafeUnwrapErr().map(error => formatConfigError(error)))
		.toEqual(['no-such-folder/cli.yaml: expected a settings file that can be read, found ENOENT']);
});

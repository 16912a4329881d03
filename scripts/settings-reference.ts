/**
Generates `docs/reference/settings.md` from the schemas of the settings files.
With `--check`, writes nothing and fails if the page is out of date.
*/
import {readFile, writeFile} from 'node:fs/promises';
import process from 'node:process';
import type * as z from 'zod';
import {CliSettingsSchema} from '@siskinhub/settings/cli-settings-schema.js';
import {EntrySettingsSchema} from '@siskinhub/settings/entry-settings-schema.js';
import {GatewaySettingsSchema} from '@siskinhub/settings/gateway-settings-schema.js';
import {SidecarSettingsSchema} from '@siskinhub/settings/sidecar-settings-schema.js';
import {listSettings} from './list-settings.js';

const PAGE = new URL('../docs/reference/settings.md', import.meta.url);

const INTRODUCTION = `# Settings

Made from the schemas in \`packages/settings\` by \`npm run docs\`; \`npm run docs:check\` fails when it is out of date.

Settings files are YAML. Addresses use IP addresses, not host names. A key that is not listed here is an error.

\`siskinhub settings check FILE\` prints every error in a file with its line; a binary whose file has errors prints the same lines and exits with a status other than 0.
`;

const EXAMPLES = {
	entry: `host: planta-norte-1
dataCentre: planta-norte
region: biobio
http: {ip: 10.1.0.11, port: 7000}
peer: {ip: 10.1.0.11, port: 7100}
dataFolder: /var/lib/siskinhub
platform: {address: "http://10.1.0.2:2379"}
`,
	sidecar: `host: planta-norte-trenza-1
dataCentre: planta-norte
peer: {ip: 10.1.0.31, port: 7200}
upstream:
  id: trenza-1
  kind: model
  target: modelos-trenza
  address: http://10.1.0.31:8000
  slots: 8
  checksFencingNumbers: true
`,
	gateway: `extraCopies:
  maxShare: 0.02
  quantile: 0.95
`,
	command: `entries:
  - http://10.1.0.11:7000
  - http://10.1.0.12:7000
operator: ana
`,
};

const escapeCell = (text: string): string => text.replaceAll('|', String.raw`\|`);

const renderSection = (title: string, example: string, schema: z.ZodObject): string => {
	const rows = listSettings(schema).map(({key, expected, fallback, description}) =>
		`| \`${key}\` | ${escapeCell(expected)} | ${escapeCell(fallback)} | ${escapeCell(description)} |`);
	return [
		`## ${title}`,
		`\`\`\`yaml\n${example}\`\`\``,
		['| key | value | default | meaning |', '| --- | --- | --- | --- |', ...rows].join('\n'),
	].join('\n\n');
};

const readPage = async (): Promise<string> => {
	try {
		return await readFile(PAGE, 'utf8');
	} catch {
		return '';
	}
};

const page = `${[
	INTRODUCTION.trimEnd(),
	renderSection('`siskinhub-entry`', EXAMPLES.entry, EntrySettingsSchema),
	renderSection('`siskinhub-sidecar`', EXAMPLES.sidecar, SidecarSettingsSchema),
	renderSection('`siskinhub-gateway`', EXAMPLES.gateway, GatewaySettingsSchema),
	renderSection('`siskinhub`', EXAMPLES.command, CliSettingsSchema),
].join('\n\n')}\n`;

if (process.argv.includes('--check')) {
	if (await readPage() !== page) {
		process.stderr.write('docs/reference/settings.md is out of date: run `npm run docs` and commit it\n');
		process.exitCode = 1;
	}
} else {
	await writeFile(PAGE, page);
}

/**
HTTP server that stands in for a plain service, for use inside a test;
`service-server` runs it as a process of its own. Each request takes effect at
once and is responded to after a delay, so that the response can be lost after
the effect. Nothing is deduplicated: an effect that happens twice is recorded
twice.
*/
import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {openAppendLog} from './open-append-log.js';
import {createRoutedServer} from './http/create-routed-server.js';
import {readJsonBody} from './http/read-json-body.js';
import {sendJson} from './http/send-json.js';
import type {EffectRecord} from './service/effect-record.js';
import {serviceFaultsSchema} from './service/service-faults-schema.js';
import type {ServiceOptions} from './service/service-options.js';

const CONFIRMATION_LENGTH = 12;
const MARK_PATTERN = /\[\[mark=([^\[\]]{1,128})\]\]/v;

/** The server is not listening yet. */
type ServiceServer = {
	readonly server: Server;
	/** Every effect that took place. */
	readonly records: () => readonly EffectRecord[];
	/** Closes the server and every connection. */
	readonly close: () => void;
};

/** Creates a service with defaults for absent options. A crash closes the server unless `options.crash` does something else. */
export const createServiceServer = (options: Partial<ServiceOptions> = {}): ServiceServer => {
	const name = options.name ?? 'booking-core';
	const crash = options.crash ?? (() => {
		close();
	});
	const faults = {delayMs: options.delayMs ?? 5, crashOn: options.crashOn ?? '', loseAnswers: 0};
	const log = openAppendLog<EffectRecord>(options.recordsFile);

	const performOperation = async (req: IncomingMessage, res: ServerResponse, operation: string): Promise<void> => {
		const text = JSON.stringify(await readJsonBody(req)) ?? 'null';
		const requestId = String(req.headers['x-request-id'] ?? '');
		const inputSha256 = createHash('sha256').update(text).digest('hex');
		log.add({
			service: name, requestId, operation, inputSha256, mark: MARK_PATTERN.exec(text)?.[1] ?? '', at: Date.now(),
		});
		if (faults.crashOn !== '' && text.includes(faults.crashOn)) {
			crash();
			return;
		}

		await sleep(faults.delayMs);
		if (faults.loseAnswers > 0) {
			faults.loseAnswers--;
			res.destroy();
			return;
		}

		sendJson(res, 200, {operation, requestId, confirmation: inputSha256.slice(0, CONFIRMATION_LENGTH)});
	};

	const setFaults = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const parsed = serviceFaultsSchema.safeParse(await readJsonBody(req));
		if (parsed.success) {
			Object.assign(faults, parsed.data);
		}

		sendJson(res, parsed.success ? 200 : 400, parsed.success ? faults : {error: {message: parsed.error.message}});
	};

	const server = createRoutedServer([
		{
			method: 'GET',
			pattern: /^\/records$/v,
			handle({res}) {
				sendJson(res, 200, log.items);
			},
		},
		{method: 'PUT', pattern: /^\/faults$/v, handle: async ({req, res}) => setFaults(req, res)},
		{method: 'POST', pattern: /^\/([\w\-]+)$/v, handle: async ({req, res, params}) => performOperation(req, res, params[0] ?? '')},
	]);
	const close = (): void => {
		server.close();
		server.closeAllConnections();
	};

	return {server, records: () => log.items, close};
};

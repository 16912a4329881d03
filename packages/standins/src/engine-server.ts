#!/usr/bin/env node
/**
Runs the engine stand-in as a process. Prints one JSON line when it listens,
exits with 0 on SIGTERM and with 1 when a prompt crashes it.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createEngineServer} from './create-engine-server.js';
import {serveUntilTerminated} from './http/serve-until-terminated.js';

const {values} = parseArgs({
	options: {
		ip: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
		name: {type: 'string'},
		model: {type: 'string', default: 'modelos-trenza'},
		slots: {type: 'string', default: '8'},
		'token-delay-ms': {type: 'string', default: '5'},
		'cache-tokens': {type: 'string', default: '200000'},
		'checks-fencing': {type: 'boolean', default: false},
		'vary-answers': {type: 'boolean', default: false},
		'crash-on': {type: 'string'},
		records: {type: 'string'},
	},
});

const {server} = createEngineServer({
	name: values.name ?? values.model,
	model: values.model,
	slots: Number(values.slots),
	tokenDelayMs: Number(values['token-delay-ms']),
	cacheTokens: Number(values['cache-tokens']),
	checksFencing: values['checks-fencing'],
	variesAnswers: values['vary-answers'],
	crashOn: values['crash-on'],
	recordsFile: values.records,
	crash: () => process.exit(1),
});
serveUntilTerminated(server, values.ip, Number(values.port));

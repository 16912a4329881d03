#!/usr/bin/env node
/**
Runs the service stand-in as a process. Prints one JSON line when it listens,
exits with 0 on SIGTERM and with 1 when an input crashes it.
*/
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createServiceServer} from './create-service-server.js';
import {serveUntilTerminated} from './http/serve-until-terminated.js';

const {values} = parseArgs({
	options: {
		ip: {type: 'string', default: '127.0.0.1'},
		port: {type: 'string', default: '0'},
		name: {type: 'string', default: 'booking-core'},
		'delay-ms': {type: 'string', default: '5'},
		'crash-on': {type: 'string'},
		records: {type: 'string'},
	},
});

const {server} = createServiceServer({
	name: values.name,
	delayMs: Number(values['delay-ms']),
	crashOn: values['crash-on'],
	recordsFile: values.records,
	crash: () => process.exit(1),
});
serveUntilTerminated(server, values.ip, Number(values.port));

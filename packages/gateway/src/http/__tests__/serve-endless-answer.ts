/**
A process for `create-caller-response.test.ts`: begins an answer without a length to
each request and never ends it. Prints its port.
*/
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createCallerResponse} from '../create-caller-response.js';

const server = createServer((_req, res) => {
	const response = createCallerResponse(res, {encodeRefusal: () => ({})});
	response.start(200, ['content-type', 'text/event-stream']);
	response.write(new TextEncoder().encode('id: 1\ndata: one\n\n'));
});
server.listen(0, '127.0.0.1', () => {
	console.log((server.address() as AddressInfo).port);
});

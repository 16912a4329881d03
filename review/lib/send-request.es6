/**
Sends one client attempt on a new connection and reports what the client sees.
*/
import {request} from 'node:http';

const CONNECT_TIMEOUT_MS = 1000;

const readEvents = text => text.split('\n\n').slice(0, -1).map(event => {
	const fields = Object.fromEntries(event.split('\n').map(line => {
		const colon = line.indexOf(': ');
		return [line.slice(0, colon), line.slice(colon + 2)];
	}));
	return {id: Number(fields.id), data: fields.data};
});

/** Resolves when the answer or the connection has ended; `isComplete` is whether the answer ended as a whole one does on the wire. Status 0 means no answer. */
export const sendRequest = async ({address, host, method = 'POST', path, headers, body = '', deadlineMs, onText}) => new Promise(resolve => {
	const [ip, port] = address.split(':');
	let text = '';
	let status = 0;
	let answerHeaders = {};
	let isOver = false;
	const finish = isComplete => {
		if (!isOver) {
			isOver = true;
			clearTimeout(deadline);
			resolve({
				status, headers: answerHeaders, isComplete, text, events: readEvents(text),
			});
		}
	};

	const fail = () => {
		finish(false);
	};

	const req = request({
		host: ip, port, method, path, agent: false, headers: {
			host, 'x-deadline-milliseconds': deadlineMs, ...headers, ...(method === 'POST' && {'content-length': body.length}),
		},
	}, res => {
		status = res.statusCode;
		answerHeaders = res.headers;
		res.setEncoding('utf8');
		res.on('data', chunk => {
			text += chunk;
			onText?.(text);
		});
		// The connection is closed after the answer; only its orderly end may complete one without length.
		res.socket.on('close', hadError => {
			finish(res.complete && !hadError);
		});
		res.on('error', fail);
	});
	const deadline = setTimeout(() => {
		req.destroy();
		finish(false);
	}, deadlineMs);
	req.on('socket', socket => {
		const connecting = setTimeout(() => {
			req.destroy(new Error('no connection within a second'));
		}, CONNECT_TIMEOUT_MS);
		socket.once('connect', () => {
			clearTimeout(connecting);
		});
		socket.once('close', () => {
			clearTimeout(connecting);
		});
	});
	req.on('error', fail);
	req.end(body);
});

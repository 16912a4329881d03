/**
Opens a kept connection of a client, which may send a request before the answer to the
one before has come. Answers come in the order of the requests.
*/
import {connect} from 'node:net';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

/** Returns the first whole answer in `text`, if there is one. */
const cutAnswer = text => {
	const headEnd = text.indexOf(HEAD_END);
	if (headEnd === -1) {
		return undefined;
	}

	const head = text.slice(0, headEnd);
	const bodyStart = headEnd + HEAD_END.length;
	const length = /^content-length: (?<bytes>\d+)$/imv.exec(head)?.groups.bytes;
	const lastChunk = text.indexOf(LAST_CHUNK, bodyStart);
	const end = length === undefined ? lastChunk + LAST_CHUNK.length : bodyStart + Number(length);
	if (end > text.length || (length === undefined && lastChunk === -1)) {
		return undefined;
	}

	return {
		end, status: Number(head.split(' ', 2)[1]), id: /^x-request-id: (?<id>\S+)/imv.exec(head)?.groups.id,
	};
};

/** The client learns of each end of a request once: its answer, or the end of the connection before it. */
export const openClient = address => {
	const [host, port] = address.split(':');
	const socket = connect({host, port: Number(port)});
	const open = [];
	let text = '';
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		for (let answer = cutAnswer(text); answer; answer = cutAnswer(text)) {
			text = text.slice(answer.end);
			const {resolve} = open.shift();
			resolve({status: answer.status, id: answer.id});
		}
	});
	socket.on('error', () => {/* What it means for the requests follows with the close. */});
	socket.on('close', () => {
		for (const {resolve} of open.splice(0)) {
			resolve({isCut: true});
		}
	});
	return {
		isOpen: () => !socket.destroyed && socket.writable,
		/** `headers` are whole lines. Resolves to the status and id of the answer, or to `isCut`. */
		send: async ({method, path, id, deadlineMs, headers = '', body = ''}) => new Promise(resolve => {
			open.push({id, resolve});
			const length = body === '' ? '' : `Content-Length: ${body.length}\r\n`;
			socket.write(`${method} ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ${id}\r\nX-Deadline-Milliseconds: ${deadlineMs}\r\n${headers}${length}\r\n${body}`);
		}),
		close() {
			socket.destroy();
		},
	};
};

/**
Exports the parts of undici that the daemons use, under the names that undici's
index has. The index also loads fetch, cookies and WebSockets, which takes each
process longer at startup than loading all of the product's own modules.
*/
import type {Dispatcher as UndiciDispatcher} from 'undici';
import request from 'undici/lib/api/api-request.js';
import util from 'undici/lib/core/util.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

export {default as buildConnector} from 'undici/lib/core/connect.js';
export {default as Agent} from 'undici/lib/dispatcher/agent.js';
export {default as Client} from 'undici/lib/dispatcher/client.js';
export {default as errors} from 'undici/lib/core/errors.js';

type RequestOptions = Omit<UndiciDispatcher.RequestOptions, 'origin' | 'path'> & {readonly dispatcher: UndiciDispatcher};

Dispatcher.prototype.request = request;

const requestUrl = async (url: string, {dispatcher, ...options}: RequestOptions): Promise<UndiciDispatcher.ResponseData> => {
	const {origin, pathname, search} = util.parseURL(url);
	return dispatcher.request({...options, origin, path: `${pathname}${search}`});
};

export {requestUrl as request};

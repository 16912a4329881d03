/**
Types of undici's internal modules, which have no declarations of their own.
*/
declare module 'undici/lib/api/api-request.js' {
	import type {Dispatcher} from 'undici';

	const request: Dispatcher['request'];
	export default request;
}

declare module 'undici/lib/core/util.js' {
	const util: {readonly parseURL: (url: string) => URL};
	export default util;
}

declare module 'undici/lib/core/connect.js' {
	export {buildConnector as default} from 'undici';
}

declare module 'undici/lib/dispatcher/dispatcher.js' {
	export {Dispatcher as default} from 'undici';
}

declare module 'undici/lib/dispatcher/agent.js' {
	export {Agent as default} from 'undici';
}

declare module 'undici/lib/dispatcher/client.js' {
	export {Client as default} from 'undici';
}

declare module 'undici/lib/core/errors.js' {
	export {errors as default} from 'undici';
}

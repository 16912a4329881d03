/**
Reads JSON from an entry or a stand-in.
*/
import {request} from 'undici';

/** Sends the headers of an operator, which stand-ins ignore. */
export const readJson = async (url: string): Promise<unknown> => {
	const {body} = await request(url, {headers: {'siskinhub-operator': 'capacity'}});
	return body.json();
};

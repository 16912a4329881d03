/**
Recognises addresses of the form `http://IP:PORT`.
*/
import {isIP} from 'node:net';

const ADDRESS_PATTERN = /^http:\/\/(?:\[(?<ipv6>[\d:a-fA-F.]+)\]|(?<ipv4>[\d.]+)):(?<port>[1-9]\d{0,4})$/v;
const MAX_PORT = 65_535;

/** Whether the text is `http://IP:PORT`, with an IP address instead of a host name and nothing after the port. */
export const isHttpAddress = (text: string): boolean => {
	const groups = ADDRESS_PATTERN.exec(text)?.groups;
	if (!groups) {
		return false;
	}

	const isIpAddress = groups.ipv6 === undefined ? isIP(groups.ipv4 ?? '') === 4 : isIP(groups.ipv6) === 6;
	return isIpAddress && Number(groups.port) <= MAX_PORT;
};

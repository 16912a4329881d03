/**
Says that a connection was closed because what came on it is no answer, whatever would follow.
*/

export class NoAnswerError extends Error {
	/** With this code undici fails a running request, and sends one that waits on another connection. */
	get code(): 'UND_ERR_SOCKET' {
		return 'UND_ERR_SOCKET';
	}
}

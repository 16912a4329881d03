/**
Opens standard output so that a reader who does not read blocks nothing.

A write to a full pipe blocks the thread that does it, and Node waits for its
threads when the process exits. So pipes and sockets are written without blocking;
what the reader does not take stays in memory. Files and terminals take every write.
*/
import {
	constants, fstatSync, openSync, write,
} from 'node:fs';
import {Socket} from 'node:net';

/** Calls `done` once the text is written or has failed; errors are not reported, since nobody reads any more. */
type WriteText = (text: string, done: () => void) => void;

/** Opens the pipe once more, since whether writes block belongs to what processes share that have inherited the same descriptor. */
const openOwnDescription = (fd: number): number => {
	try {
		return openSync(`/proc/self/fd/${fd}`, constants.O_WRONLY + constants.O_NONBLOCK);
	} catch {
		// Without that file system the shared descriptor is as good for a process that has its pipe to itself.
		return fd;
	}
};

export const openOutput = (fd: number): WriteText => {
	const stats = fstatSync(fd);
	if (!stats.isFIFO() && !stats.isSocket()) {
		return (text, done) => {
			write(fd, text, done);
		};
	}

	const socket = new Socket({fd: stats.isFIFO() ? openOwnDescription(fd) : fd, readable: false, writable: true});
	// Each write that fails calls back as well.
	socket.on('error', () => undefined);
	socket.unref();
	return (text, done) => {
		socket.write(text, done);
	};
};

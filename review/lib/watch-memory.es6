/**
Does what the platform does with a process that uses more memory than its machine
has: kills it, and starts it again after a short delay. Counted are only the
anonymous pages of the process, not the program's own file.
*/
import {readFileSync} from 'node:fs';

const CHECK_INTERVAL_MS = 50;
const RESTART_MS = 500;
const KB_PER_MB = 1024;

const readMemoryMb = pid => {
	try {
		const [, kilobytes] = /^RssAnon:\s+(\d+) kB$/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
		return Number(kilobytes) / KB_PER_MB;
	} catch {
		// The process has just ended.
		return 0;
	}
};

/** `memoryMb` is that of the settings. `stop` ends the watch; `kills` counts the processes that were killed, `peakMb` is the most that was seen. */
export const watchMemory = (machine, log) => {
	const {memoryMb} = machine.settings.limits;
	let kills = 0;
	let peakMb = 0;
	let isKilling = false;
	let restart;

	const check = async () => {
		if (isKilling || !machine.isRunning()) {
			return;
		}

		const usedMb = readMemoryMb(machine.pid());
		peakMb = Math.max(peakMb, usedMb);
		if (usedMb <= memoryMb) {
			return;
		}

		isKilling = true;
		log(`${machine.name} uses ${Math.round(usedMb)} MB of ${memoryMb} MB, so the platform kills it`);
		kills++;
		await machine.send('SIGKILL');
		restart = setTimeout(() => {
			isKilling = false;
			machine.start();
		}, RESTART_MS);
	};

	const timer = setInterval(check, CHECK_INTERVAL_MS);
	return {
		name: machine.name,
		kills: () => kills,
		peakMb: () => peakMb,
		stop() {
			clearInterval(timer);
			clearTimeout(restart);
		},
	};
};

/**
One machine of the small deployment: a settings file, and one process of the
project that runs with it.
*/
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdirSync, rmSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

/** `command` holds the words of the role's command; `settings` is written as the settings file (JSON is YAML). */
export const createMachine = ({root, folder, command, settings, log}) => {
	const {nodeName: name, dataDirectory} = settings;
	const file = path.join(folder, `${name}.yaml`);
	let child;
	let lives = 0;

	const isRunning = () => child !== undefined && child.exitCode === null && child.signalCode === null;

	const send = async signal => {
		if (!isRunning()) {
			return;
		}

		log(`${signal} to ${name}`);
		const ended = once(child, 'exit');
		child.kill(signal);
		if (signal === 'SIGTERM' || signal === 'SIGKILL') {
			await ended;
			log(`${name} has ended`);
		}
	};

	return {
		name,
		zone: settings.zone,
		settings,
		isRunning,
		pid: () => child?.pid,
		start() {
			if (dataDirectory) {
				mkdirSync(dataDirectory, {recursive: true});
			}

			writeFileSync(file, JSON.stringify({...settings, bootstrap: lives === 0}));
			lives++;
			const [program, ...words] = command;
			const {PATH, HOME, LANG} = process.env;
			child = spawn(program, words, {
				cwd: root, env: {
					PATH, HOME, LANG, SISKINHUB_BOOT: file,
				}, stdio: 'ignore',
			});
			child.on('exit', (code, signal) => {
				if (signal === null && code !== 0) {
					log(`${name} ended by itself with code ${code}`);
				}
			});
			log(`${name} started, life ${lives}`);
		},
		/** Resolves once the process has ended, for the signals that end it. */
		send,
		/** Removes what is on the disk; the process must have ended. */
		wipe() {
			rmSync(dataDirectory, {recursive: true, force: true});
			log(`the disk of ${name} is lost`);
		},
	};
};

/**
Runs the script of one case: starts a deployment, plays the case, ends everything,
and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not
run.
*/
import path from 'node:path';
import process from 'node:process';
import {createRecord} from './create-record.es6';
import {startDeployment} from './start-deployment.es6';

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const MAX_RUN_MS = 116_000;

/** `play` resolves to the list of what broke the rule; it throws if the case could not run. `options` are those of the deployment. */
export const runCase = async ({folder, options, play}) => {
	const root = path.resolve(folder, '../..');
	const record = createRecord(folder);
	const {log} = record;
	const hasTrouble = process.env.TROUBLE !== '0';
	let deployment;
	let code = EXIT_NOT_RUN;
	let isOver = false;

	const end = async exitCode => {
		if (isOver) {
			return;
		}

		isOver = true;
		await deployment?.stop();
		log(['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][exitCode]);
		record.close();
		process.exitCode = exitCode;
	};

	setTimeout(async () => {
		log('the time of the script is over');
		await end(EXIT_NOT_RUN);
	}, MAX_RUN_MS).unref();
	log(hasTrouble ? 'with the disruption' : 'without the disruption');
	try {
		deployment = await startDeployment({...options, root, log});
		const broken = await play({
			...deployment, log, hasTrouble, seconds: record.seconds,
		});
		for (const text of broken) {
			log(`broken: ${text}`);
		}

		code = broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
	} catch (error) {
		log(`error: ${error.stack}`);
	}

	await end(code);
};

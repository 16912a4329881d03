/**
A small agent program of a repair shop: it diagnoses a window blind from a photo,
has a sub-agent look up the part, books a technician and confirms the booking.
*/
import {setTimeout as sleep} from 'node:timers/promises';
import type {TimelineStep} from '../timeline/timeline-step.js';
import type {AgentClient} from './agent-client.js';
import type {DiagnosisReport} from './diagnosis-report.js';

const TOOL_PAUSE_MS = 600;
const OUTPUT_TOKENS = 40;

type DiagnosisOptions = {
	readonly client: AgentClient;
	readonly model: string;
	readonly service: string;
	readonly onStep: (step: TimelineStep) => void;
};

const askModel = (model: string, program: string, turn: number, content: string) => ({
	program,
	turn,
	requestId: `${program}:${turn}`,
	idempotent: true,
	target: {model},
	input: [{role: 'user', content}],
	maxOutputTokens: OUTPUT_TOKENS,
});

const runTool = async (title: string, onStep: DiagnosisOptions['onStep']) => {
	const startedAt = Date.now();
	await sleep(TOOL_PAUSE_MS);
	onStep({title, startedAt, endedAt: Date.now()});
};

const lookUpPart = async ({client, model}: DiagnosisOptions, parent: string): Promise<string> => {
	const child = await client.startProgram('sub-agent: start', {kind: 'parts-lookup', deployment: 'repair', parent});
	await client.call('sub-agent: turn 1, model', askModel(model, child, 1, 'Which cord lock fits a 25 mm headrail?'));
	await client.call('sub-agent: turn 2, model', askModel(model, child, 2, 'Is it in stock in Alexandria?'));
	await client.endProgram('sub-agent: end', child);
	return child;
};

/** Runs all turns but leaves the main program open; rejects on the first refusal. */
export const diagnoseBlind = async (options: DiagnosisOptions): Promise<DiagnosisReport> => {
	const {client, model, service, onStep} = options;
	const program = await client.startProgram('start the program', {kind: 'diagnosis', deployment: 'repair'});
	await client.call('turn 1, model', askModel(model, program, 1, 'The photo shows a blind that hangs on one side.'));
	await runTool('tool pause: measure the cord in the photo', onStep);
	await client.call('turn 2, model', askModel(model, program, 2, 'The tool measured a frayed cord of 1.4 mm.'));
	const child = await lookUpPart(options, program);

	const bookingRequestId = `${program}:booking`;
	const booking = {
		program, turn: 3, requestId: bookingRequestId, idempotent: false, target: {service, operation: 'book'}, input: {technician: 'Cairo', slot: '09:30'},
	};
	const first = await client.call('turn 3, booking, not idempotent', booking);
	const second = await client.call('turn 3, the same booking sent again', booking);

	await client.call('turn 4, model', askModel(model, program, 4, 'Confirm the booking to the housekeeper.'));
	return {
		program, child, bookingRequestId, bookingAnswers: [first, second], turns: 4,
	};
};

/**
Checks the guarantees to callers and upstreams after the program's last turn: a
complete history in order, and a booking that took effect once with one answer.
*/
import type {Deployment} from '@siskinhub/standins/cluster/deployment.js';
import {sendJsonRequest} from '@siskinhub/prove/cluster/send-json-request.js';
import type {AgentClient} from './agent/agent-client.js';
import type {DiagnosisReport} from './agent/diagnosis-report.js';
import type {CheckResult} from './check-result.js';

type UpstreamNode = Deployment['upstreams'][number];

const readList = async (url: string): Promise<readonly unknown[]> => {
	const {body} = await sendJsonRequest('GET', url);
	return body as readonly unknown[];
};

const countBookings = async (upstreams: readonly UpstreamNode[]): Promise<number> => {
	const services = upstreams.filter(({kind}) => kind === 'service');
	const records = await Promise.all(services.map(async ({address}) => readList(`${address}/records`)));
	return records.flat().length;
};

/** Compares the records of the stand-in services and the history of the entries with `report`. */
export const checkGuarantees = async ({upstreams}: Deployment, client: AgentClient, report: DiagnosisReport): Promise<CheckResult[]> => {
	const {turns} = await client.readHistory('read the history', report.program);
	const bookings = await countBookings(upstreams);
	const [first, second] = report.bookingAnswers;
	return [
		{name: 'the history holds every turn, in order', isMet: turns.length === report.turns && turns.every(({turn}, index) => turn === index + 1), detail: `${turns.length} turns`},
		{name: 'the booking took effect once', isMet: bookings === 1, detail: `${bookings} effects at the service`},
		{name: 'both copies of the booking got one answer', isMet: first === second && first !== '', detail: first},
	];
};

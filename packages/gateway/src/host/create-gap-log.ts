/**
Logs and counts what a disk lacked of the data in use when it was written to, as
after its holder was away.

Expected load: after an absence every program in use has such a write, hundreds
within seconds. So lines are bounded, and the others are counted.
*/
import {createBoundedLines} from '@siskinhub/observe/create-bounded-lines.js';
import type {Logger} from '@siskinhub/observe/logger.js';
import type {CopyGap} from '@siskinhub/turns/holder/copy-gap.js';

const PERIOD_MS = 2000;
/** Gaps with a line of their own in each period. */
const MAX_LINES = 20;

export const createGapLog = (log: Pick<Logger, 'info'>, count: (data: CopyGap['data']) => void) => {
	const lines = createBoundedLines(log, {periodMs: PERIOD_MS, maxLines: MAX_LINES, omittedMessage: 'gaps of the disk left out'});
	return {
		record(gap: CopyGap): void {
			count(gap.data);
			lines.write('the disk lacked data that is in use', gap);
		},
		close(): void {
			lines.close();
		},
	};
};

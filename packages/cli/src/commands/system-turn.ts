/**
The `siskinhub system turn` command: asks every copy holder for a turn and prints
which of them store it.
*/
import {Args, Flags} from '@oclif/core';
import {readTurnCopies} from '@siskinhub/gateway/inspect/read-turn-copies.js';
import {scopeId} from '@siskinhub/gateway/workspaces/scope-id.js';
import {EXIT_CODE} from '../command/exit-code.js';
import {SystemCommand} from '../command/system-command.js';
import {formatTime} from '../format/format-time.js';
import {renderGrid} from '../format/render-grid.js';

type Copies = Awaited<ReturnType<typeof readTurnCopies>>;

const describeCopies = ({holder, turns}: Copies[number]): ReadonlyArray<string | number> => {
	if (!turns) {
		return [holder.host, 'no answer', '', '', ''];
	}

	const [newest] = turns;
	const bytes = turns.reduce((sum, {inputBytes, outputBytes}) => sum + inputBytes + outputBytes, 0);
	return newest ? [holder.host, 'stored', turns.length, bytes, formatTime(newest.expiresAtMs)] : [holder.host, 'not stored', '', '', ''];
};

export class SystemTurn extends SystemCommand {
	static override summary = 'Show on which disks a turn and the turns before it are stored.';
	static override flags = {workspace: Flags.string({description: 'whose turn it is, where the deployment declares workspaces; empty for one on an open route'})};
	static override args = {turn: Args.string({required: true, description: 'id of the request that was the turn'})};

	async run(): Promise<unknown> {
		const {args, flags} = await this.parse(SystemTurn);
		const copies = await this.withSystem(flags.settings, async system => {
			const {groups} = await this.readState(system, []);
			return readTurnCopies(groups, scopeId(flags.workspace, args.turn), system.linkTo);
		});
		this.log(renderGrid(['holder', 'turn', 'turns up to it', 'bytes', 'kept until'], copies.map(copy => describeCopies(copy))));
		if (copies.some(({turns}) => turns && turns.length > 0)) {
			return {turn: args.turn, copies};
		}

		return this.fail(copies.some(({turns}) => !turns)
			? {
				code: 'unknown-turn', message: `No holder that answered has ${args.turn}; a holder that did not answer may have it.`, exitCode: EXIT_CODE.FAILED, details: {copies},
			}
			: {
				code: 'unknown-turn', message: `No holder has ${args.turn}: its answer never completed, or its retention period has expired.`, exitCode: EXIT_CODE.FAILED, details: {copies},
			});
	}
}

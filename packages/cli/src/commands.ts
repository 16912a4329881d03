/**
All commands of `siskinhub`, keyed by oclif id.
*/
import {Explain} from './commands/explain.js';
import {ProgramEnd} from './commands/program-end.js';
import {ProgramShow} from './commands/program-show.js';
import {SettingsCheck} from './commands/settings-check.js';
import {Status} from './commands/status.js';
import {SystemRoutes} from './commands/system-routes.js';
import {SystemStatus} from './commands/system-status.js';
import {SystemTurn} from './commands/system-turn.js';
import {SystemWorkspaces} from './commands/system-workspaces.js';
import {TableApply} from './commands/table-apply.js';
import {TableDiff} from './commands/table-diff.js';
import {TableGet} from './commands/table-get.js';
import {TableHistory} from './commands/table-history.js';
import {TableSet} from './commands/table-set.js';
import {UpstreamDrain} from './commands/upstream-drain.js';
import {UpstreamList} from './commands/upstream-list.js';

/** The colons in an id separate words, which operators type with spaces between them. */
export const COMMANDS = {
	explain: Explain,
	'program:end': ProgramEnd,
	'program:show': ProgramShow,
	'settings:check': SettingsCheck,
	status: Status,
	'system:routes': SystemRoutes,
	'system:workspaces': SystemWorkspaces,
	'system:status': SystemStatus,
	'system:turn': SystemTurn,
	'table:apply': TableApply,
	'table:diff': TableDiff,
	'table:get': TableGet,
	'table:history': TableHistory,
	'table:set': TableSet,
	'upstream:drain': UpstreamDrain,
	'upstream:list': UpstreamList,
};

/**
Decodes program headers from peer messages.
*/
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {StoredHeader} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** An empty `parent` in the message means that the program has none. */
export const decodeHeader = (header: StoredHeader): ProgramHeader => ({
	program: header.program as ProgramId,
	workspace: header.workspace as WorkspaceId,
	kind: header.kind,
	deployment: header.deployment,
	...(header.parent !== '' && {parent: header.parent as ProgramId}),
	startedAt: header.startedAt,
});

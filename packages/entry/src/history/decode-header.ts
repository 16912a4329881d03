/**
Program headers as they arrive from other processes.
*/
import type {ProgramHeader} from '@siskinhub/core/history/program-header.js';
import type {ProgramId} from '@siskinhub/core/ids/program-id.js';
import type {WorkspaceId} from '@siskinhub/core/ids/workspace-id.js';
import type {StoredHeader} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

/** Reads a header from its message. */
export const decodeHeader = (header: StoredHeader): ProgramHeader => ({
	program: header.program as ProgramId,
	workspace: header.workspace as WorkspaceId,
	kind: header.kind,
	deployment: header.deployment,
	...(header.parent !== '' && {parent: header.parent as ProgramId}),
	startedAt: header.startedAt,
});

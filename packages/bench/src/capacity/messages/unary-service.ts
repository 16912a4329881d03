/**
The link's messages behind a unary method, for comparison only.
*/
import type {GenService} from '@bufbuild/protobuf/codegenv2';
import {type FrameSchema, PeerService} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type UnaryService = GenService<{link: {methodKind: 'unary'; input: typeof FrameSchema; output: typeof FrameSchema}}>;

const method = {...PeerService.method.link, methodKind: 'unary'};

/** One frame is answered by one frame. */
export const UNARY_SERVICE = {...PeerService, methods: [method], method: {link: method}} as unknown as UnaryService;

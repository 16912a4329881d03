/**
Defines a service with a unary method that carries the messages of a link. Only
the comparison with the link's stream uses it.
*/
import type {GenService} from '@bufbuild/protobuf/codegenv2';
import {type FrameSchema, PeerService} from '@siskinhub/proto/gen/siskinhub/peer/v1/peer_pb.js';

type UnaryService = GenService<{link: {methodKind: 'unary'; input: typeof FrameSchema; output: typeof FrameSchema}}>;

const method = {...PeerService.method.link, methodKind: 'unary'};

/** `PeerService` with its method `link` as a unary method: one frame is answered by one frame. */
export const UNARY_SERVICE = {...PeerService, methods: [method], method: {link: method}} as unknown as UnaryService;

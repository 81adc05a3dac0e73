/**
 * gRPC messages, services, clients and server for calls between daemons.
 *
 * @module
 */
export {
  AdviseRequestSchema,
  AgentService,
  AskRequestSchema,
  CancelRequestSchema,
  HeartbeatSchema,
  PinRequestSchema,
  ResumeRequestSchema,
  RunFrameSchema,
  RunRequestSchema,
  StartedSchema,
} from "./gen/banyanspool/v1/agent_pb.ts";
export type {
  AdviseRequest,
  AskRequest,
  AttemptId,
  CancelRequest,
  Move,
  PinRequest,
  ResumeRequest,
  RunFrame,
  RunRequest,
  Started,
} from "./gen/banyanspool/v1/agent_pb.ts";
export {
  LedgerStatusSchema,
  PeerService,
  ShareStatusSchema,
  StatusResponseSchema,
  SyncRequestSchema,
  SyncResponseSchema,
} from "./gen/banyanspool/v1/peer_pb.ts";
export type {
  BorrowRequest,
  LedgerStatus,
  SettleRequest,
  ShareStatus,
  StatusResponse,
  SyncRequest,
  SyncResponse,
} from "./gen/banyanspool/v1/peer_pb.ts";
export {
  createGoneReport,
  fromWireAttempt,
  fromWireDaemon,
  fromWireDemand,
  fromWireReport,
  toWireAttempt,
  toWireDaemon,
  toWireDemand,
  toWireReport,
} from "./convert.ts";
export { toInt32, toInt64, toUint32, toUint64 } from "./numbers.ts";
export {
  createCredentialInterceptor,
  createCredentialVerifier,
} from "./credential.ts";
export type { CredentialOptions } from "./credential.ts";
export { PeerPool } from "./peer_pool.ts";
export type {
  AgentClient,
  PeerClient,
  PeerConnection,
  PeerPoolOptions,
} from "./peer_pool.ts";
export { startInternalServer } from "./internal_server.ts";
export type {
  InternalServer,
  InternalServerOptions,
} from "./internal_server.ts";
export { GatewayStateSchema } from "./gen/banyanspool/v1/gateway_pb.ts";
export type {
  GatewayState,
  HeldModels,
  ModelDemandReport,
  ModelInFlight,
  PermitMessage,
  ReplicaCrash,
  ReplicaHoldings,
  ReplicaLoad,
  ServerNews,
} from "./gen/banyanspool/v1/gateway_pb.ts";

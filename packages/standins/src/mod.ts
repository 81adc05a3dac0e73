/**
 * Stand-ins for model engines, plain services and the platform, for tests.
 *
 * @module
 */
export { EngineModel } from "./engine_model.ts";
export type {
  EngineModelOptions,
  EngineSequence,
  Schedule,
} from "./engine_model.ts";
export { startEngineServer } from "./engine_server.ts";
export type {
  EngineFaults,
  EngineServer,
  EngineServerOptions,
} from "./engine_server.ts";
export { startPlatformServer } from "./platform_server.ts";
export type { PlatformServer } from "./platform_server.ts";
export { startServiceServer } from "./service_server.ts";
export type { ServiceFaults, ServiceServer } from "./service_server.ts";
export { startBlackholeProxy } from "./blackhole_proxy.ts";
export type { BlackholeProxy } from "./blackhole_proxy.ts";
export { pickPorts, reservePort } from "./ports.ts";
export { keepEventLoopBusy } from "./busy_event_loop.ts";
export { startUploadServer, UPLOAD_ANSWER_BODY } from "./upload_server.ts";
export type { UploadAnswer, UploadServer } from "./upload_server.ts";

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import type {
  AttemptKey,
  DaemonIdentity,
  DaemonRole,
  ModelDemand,
  ReplicaReport,
} from "@banyanspool/types";
import {
  type AttemptId,
  AttemptIdSchema,
} from "./gen/banyanspool/v1/agent_pb.ts";
import {
  type Daemon,
  DaemonSchema,
  type ModelDemand as WireDemand,
  ModelDemandSchema,
  type ReplicaReport as WireReport,
  ReplicaReportSchema,
} from "./gen/banyanspool/v1/peer_pb.ts";

const MILLI = 1000;

/** Converts an attempt's identity to its message. */
export function toWireAttempt(key: AttemptKey): AttemptId {
  return create(AttemptIdSchema, {
    entry: key.entry,
    entryIncarnation: BigInt(key.incarnation),
    sequence: BigInt(key.sequence),
  });
}

/**
 * Converts an attempt's message to its identity; missing fields become "" or 0.
 */
export function fromWireAttempt(id: AttemptId | undefined): AttemptKey {
  return {
    entry: id?.entry ?? "",
    incarnation: Number(id?.entryIncarnation ?? 0),
    sequence: Number(id?.sequence ?? 0),
  };
}

/** Converts a daemon's identity to its message. */
export function toWireDaemon(daemon: DaemonIdentity): Daemon {
  return create(DaemonSchema, {
    ...daemon,
    incarnation: BigInt(daemon.incarnation),
  });
}

/**
 * Converts a daemon's message to its identity; an unknown role becomes "agent".
 */
export function fromWireDaemon(daemon: Daemon): DaemonIdentity {
  const { instance, dataCentre, address, leaving } = daemon;
  const role: DaemonRole = daemon.role === "entry" ? "entry" : "agent";
  const incarnation = Number(daemon.incarnation);
  return { instance, incarnation, role, dataCentre, address, leaving };
}

/** Converts demand to its message, which counts thousandths of replicas. */
export function toWireDemand(demand: ModelDemand): WireDemand {
  return create(ModelDemandSchema, {
    model: demand.model,
    fastMilliReplicas: Math.round(demand.fastReplicas * MILLI),
    slowMilliReplicas: Math.round(demand.slowReplicas * MILLI),
  });
}

/** Converts demand from its message. */
export function fromWireDemand(demand: WireDemand): ModelDemand {
  return {
    model: demand.model,
    fastReplicas: demand.fastMilliReplicas / MILLI,
    slowReplicas: demand.slowMilliReplicas / MILLI,
  };
}

/** Converts a report to its message. */
export function toWireReport(report: ReplicaReport): WireReport {
  const init: MessageInitShape<typeof ReplicaReportSchema> = {
    replica: report.replica,
    agentIncarnation: BigInt(report.agentIncarnation),
    instance: report.instance,
    address: report.address,
    dataCentre: report.dataCentre,
    sequence: BigInt(report.sequence),
    readyModels: [...report.readyModels],
    readyAdapters: [...report.readyAdapters],
    services: [...report.services],
    queuedTokens: report.queuedTokens,
    running: report.running,
    slots: report.slots,
    weightsMib: Math.ceil(report.weightsMib),
    memoryMib: report.memoryMib,
    prefillTokensPerS: Math.round(report.prefillTokensPerS),
    decodeUsPerToken: Math.round(report.decodeUsPerToken),
    leaving: report.leaving,
  };
  return create(ReplicaReportSchema, init);
}

/** Creates the report message that marks a replica as gone. */
export function createGoneReport(replica: string): WireReport {
  return create(ReplicaReportSchema, { replica, gone: true });
}

/** Converts a report from its message. */
export function fromWireReport(report: WireReport): ReplicaReport {
  return {
    replica: report.replica,
    agentIncarnation: Number(report.agentIncarnation),
    instance: report.instance,
    address: report.address,
    dataCentre: report.dataCentre,
    sequence: Number(report.sequence),
    readyModels: report.readyModels,
    readyAdapters: report.readyAdapters,
    services: report.services,
    queuedTokens: report.queuedTokens,
    running: report.running,
    slots: report.slots,
    weightsMib: report.weightsMib,
    memoryMib: report.memoryMib,
    prefillTokensPerS: report.prefillTokensPerS,
    decodeUsPerToken: report.decodeUsPerToken,
    leaving: report.leaving,
  };
}

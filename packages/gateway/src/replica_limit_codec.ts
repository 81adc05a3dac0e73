import type {
  LimitObservation,
  PermitMessage,
} from "@banyanspool/replica-limits";
import {
  type GatewayState,
  type PermitMessage as WirePermitMessage,
  toUint32,
} from "@banyanspool/wire";

/** Encodes the limits that replicas named as fields of a datagram. */
export function encodeReplicaLimits(
  observations: readonly LimitObservation[],
): Pick<GatewayState, "replicaLimits"> {
  return {
    replicaLimits: observations.map(({ replica, ratePerS, ageMs }) => ({
      $typeName: "banyanspool.v1.ReplicaLimit",
      replica,
      ratePerS,
      ageMs: toUint32(ageMs),
    })),
  };
}

/** Encodes a message about permits as a field of a datagram. */
export function encodePermitMessage(
  { queries, answers }: PermitMessage,
): WirePermitMessage {
  return {
    $typeName: "banyanspool.v1.PermitMessage",
    queries: queries.map((query) => ({
      $typeName: "banyanspool.v1.PermitQuery",
      id: query.id,
      replica: query.replica,
      ratePerS: query.ratePerS,
      spare: query.permitClass === "spare",
      organisation: query.requester.organisation,
      priority: toUint32(query.requester.priority),
      request: query.requester.request,
      promiseWithinMs: query.promiseWithinMs === undefined
        ? undefined
        : toUint32(query.promiseWithinMs),
    })),
    answers: answers.map(({ id, result }) => ({
      $typeName: "banyanspool.v1.PermitAnswer",
      id,
      retryInMs: result.granted
        ? undefined
        : toUint32(Math.ceil(result.retryInMs)),
    })),
  };
}

/** Decodes a message about permits. */
export function decodePermitMessage(
  { queries, answers }: WirePermitMessage,
): PermitMessage {
  return {
    queries: queries.map(({ organisation, priority, request, ...query }) => ({
      id: query.id,
      replica: query.replica,
      ratePerS: query.ratePerS,
      permitClass: query.spare ? "spare" : "any",
      requester: { organisation, priority, request },
      promiseWithinMs: query.promiseWithinMs,
    })),
    answers: answers.map(({ id, retryInMs }) => ({
      id,
      result: retryInMs === undefined
        ? { granted: true }
        : { granted: false, retryInMs },
    })),
  };
}

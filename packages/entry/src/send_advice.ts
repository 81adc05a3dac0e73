import { create } from "@bufbuild/protobuf";
import type { ReplicaReport } from "@banyanspool/types";
import { AdviseRequestSchema, type PeerPool } from "@banyanspool/wire";
import type { Router } from "@banyanspool/routing";
import { createLog } from "@banyanspool/logger";
import type { ModelLoadAdvice } from "./model_loader.ts";

const ADVISE_TIMEOUT_MS = 1000;

const log = createLog("entry:advice");

/** Options of {@link createAdviceSender}. */
export interface AdviceSenderOptions {
  /** Connections to agents. */
  readonly pool: PeerPool;
  /** Finds other replicas that have a model ready. */
  readonly router: Router;
  /** Version of the configuration document that the advice is based on. */
  readonly configVersion: () => number;
}

/**
 * Creates a function that sends load advice to an agent. For each model to
 * unload, the advice lists the other replicas that have it ready, at which the
 * agent can pin the model first. Failures are only logged.
 */
export function createAdviceSender(
  { pool, router, configVersion }: AdviceSenderOptions,
): (advice: ModelLoadAdvice) => Promise<void> {
  return async ({ report, model, unloadModels }) => {
    const request = create(AdviseRequestSchema, {
      configVersion: BigInt(configVersion()),
      moves: [{
        replica: report.replica,
        loadModel: model,
        unloadModels: [...unloadModels],
        pinSources: unloadModels.map((name) => ({
          model: name,
          addresses: listOtherReplicas(router.ready(name), report),
        })),
      }],
    });
    try {
      const options = { timeoutMs: ADVISE_TIMEOUT_MS };
      await pool.getConnection(report.address).agent.advise(request, options);
    } catch (error) {
      log(`Advice to "${report.instance}" failed: ${(error as Error).message}`);
    }
  };
}

/** Lists the other ready replicas as `address/replica`. */
function listOtherReplicas(
  ready: readonly ReplicaReport[],
  target: ReplicaReport,
): string[] {
  return ready
    .filter((report) => report.replica !== target.replica)
    .map((report) => `${report.address}/${report.replica}`);
}

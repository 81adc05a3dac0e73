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
  /** Known replicas, to tell the agent who else holds a model. */
  readonly router: Router;
  /** Version of the document that the advice rests on. */
  readonly configVersion: () => number;
}

/** Creates the function that sends placement advice to an agent. */
export function createAdviceSender(
  { pool, router, configVersion }: AdviceSenderOptions,
): (advice: ModelLoadAdvice) => Promise<void> {
  return async ({ report, model, unloadModels: unload }) => {
    const request = create(AdviseRequestSchema, {
      configVersion: BigInt(configVersion()),
      moves: [{
        replica: report.replica,
        loadModel: model,
        unloadModels: [...unload],
        pinSources: unload.map((name) => ({
          model: name,
          addresses: findOthers(router.ready(name), report),
        })),
      }],
    });
    try {
      const options = { timeoutMs: ADVISE_TIMEOUT_MS };
      await pool.at(report.address).agent.advise(request, options);
    } catch (error) {
      log(`Advice to "${report.instance}" failed: ${(error as Error).message}`);
    }
  };
}

/** Addresses of other replicas' agents, as `address/replica`. */
function findOthers(
  ready: readonly ReplicaReport[],
  own: ReplicaReport,
): string[] {
  return ready
    .filter((report) => report.replica !== own.replica)
    .map((report) => `${report.address}/${report.replica}`);
}

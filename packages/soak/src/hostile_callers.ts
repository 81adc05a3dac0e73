import {
  HostileCrowd,
  requestHead,
  shortFields,
  unendingBody,
} from "@banyanspool/crowds";
import { sleep } from "@banyanspool/types";
import type { Run } from "./run_seed.ts";
import type { FaultStep, LinkFault } from "./schedule.ts";

const CLIENTS = 60;
/** Largest body that the stand-in's configuration allows. */
const BODY_BYTES = 100_000;
const FIELD_BYTES = 15_000;
const SLOW_PIECE_BYTES = 1000;
const PIECE_PAUSE_MS = 10;

/** What a client sends, by the variant of the step. */
const PIECES: Readonly<Record<LinkFault, () => Iterable<Buffer>>> = {
  reset: () => unendingBody({ target: "/chat/", bytes: BODY_BYTES }),
  silent: () => [Buffer.from(requestHead({ target: "/look/" }).slice(0, 40))],
  oneWay: () =>
    unendingBody({
      target: "/book/",
      bytes: 1000,
      lines: shortFields(FIELD_BYTES),
    }),
  delay: () =>
    unendingBody({
      target: "/nowhere/",
      bytes: BODY_BYTES,
      pieceBytes: SLOW_PIECE_BYTES,
      isChunked: true,
    }),
};

/**
 * Lets a crowd send requests to a gateway that stop before their end, and leave
 * after some time. None of them may run.
 */
export async function sendHostileCrowd(
  { target, durationMs, linkFault }: FaultStep,
  { fleet }: Run,
): Promise<void> {
  const crowd = HostileCrowd.open({
    host: fleet.gateways[target]!.host,
    port: fleet.callerPort,
    clients: CLIENTS,
    pieces: PIECES[linkFault],
    pauseMs: linkFault === "delay" ? PIECE_PAUSE_MS : undefined,
  });
  await sleep(durationMs);
  crowd.leave();
}

import {
  type ResponseClaim,
  type ResponseMatch,
  ResponseMatcher,
} from "@banyanspool/responses";
import test, { type ExecutionContext } from "ava";
import fc from "fast-check";
import {
  type CallerResponse,
  type RunningGateway,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";
import {
  type Answer,
  bodyFor,
  ScriptedReplica,
  type Step,
} from "./testing/scripted_replica.ts";

const SEED = 20261205;
const SCRIPTS = Number(process.env.BANYANSPOOL_SCRIPTS ?? 1000);
/** Scripts within which a planted defect must be found. */
const MAX_SCRIPTS_UNTIL_FOUND = 200;
const NOT_RUN_STATUSES = [408, 421, 429, 503];
const SOUND: Step = {
  kind: "run",
  copy: "none",
  stray: "none",
  inPieces: false,
  closes: false,
};

/** Two replicas that answer by scripts, and what they ran. */
interface ScriptedFleet {
  readonly send: RunningGateway["send"];
  readonly runs: Map<string, number>;
  play: (steps: readonly Step[]) => void;
}

async function startScriptedFleet(t: ExecutionContext): Promise<ScriptedFleet> {
  const fleet = await startFleet(t);
  const runs = new Map<string, number>();
  let remaining: Step[] = [];
  for (const id of ["i-1", "i-2"]) {
    const replica = await ScriptedReplica.create({
      nextStep: () => remaining.shift() ?? SOUND,
      onRun: (request) => runs.set(request, (runs.get(request) ?? 0) + 1),
    });
    t.teardown(() => replica.close());
    fleet.setReplicaRow(id, replica.row("desk"));
  }
  const { send } = await startGateway(t, fleet);
  return { send, runs, play: (steps) => remaining = [...steps] };
}

/** Returns what is wrong with a response, or undefined. */
function findFault(
  { id, isBooking, runs }: { id: string; isBooking: boolean; runs: number },
  { status, headers, body, isComplete }: CallerResponse,
): string | undefined {
  const stamp = headers["response-stamp"];
  if (status === 200) {
    if (stamp !== `stamp-${id}`) return "a success without its stamp";
    if (!isComplete || body !== bodyFor(id)) return "a body that isn't its own";
  } else if (stamp !== undefined && stamp !== `stamp-${id}`) {
    return "another request's failure";
  }
  if (!isBooking) return undefined;
  if (runs > 1) return "a booking that ran twice";
  const isRefused = NOT_RUN_STATUSES.includes(status);
  return isRefused && runs > 0 ? "a refusal of what ran" : undefined;
}

const answer: fc.Arbitrary<Answer> = fc.oneof(
  { weight: 3, arbitrary: fc.constant<Answer>({ kind: "run" }) },
  {
    weight: 1,
    arbitrary: fc.constantFrom(400 as const, 500 as const, 503 as const).map(
      (status): Answer => ({ kind: "fail", status }),
    ),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("reject" as const),
      status: fc.constantFrom(421 as const, 429 as const, 503 as const),
      hasId: fc.boolean(),
    }),
  },
);
const step: fc.Arbitrary<Step> = fc.tuple(
  answer,
  fc.record({
    copy: fc.constantFrom("none", "none", "at once", "idle", "late"),
    stray: fc.constantFrom(
      "none",
      "none",
      "none",
      "success",
      "failure",
      "noise",
    ),
    inPieces: fc.boolean(),
    closes: fc.nat(9).map((draw) => draw === 0),
  }),
).map(([answer, stutter]) => ({ ...answer, ...stutter } as Step));

/** Plays scripts until a caller or a replica sees a fault. */
async function playScripts(t: ExecutionContext, scripts: number) {
  const { send, runs, play } = await startScriptedFleet(t);
  let sent = 0;
  return await fc.check(
    fc.asyncProperty(
      fc.array(step, { minLength: 4, maxLength: 12 }),
      fc.array(fc.boolean(), { minLength: 3, maxLength: 8 }),
      async (steps, bookings) => {
        play(steps);
        for (const isBooking of bookings) {
          sent += 1;
          const id = `scripted-${sent}`;
          const res = await send(isBooking ? "/book/" : "/look/", {
            method: isBooking ? "POST" : "GET",
            body: isBooking ? "x" : undefined,
            headers: { "request-id": id },
          });
          const fault = findFault(
            { id, isBooking, runs: runs.get(id) ?? 0 },
            res,
          );
          if (fault) throw new Error(`${id}: ${fault}`);
        }
      },
    ),
    { seed: SEED, numRuns: scripts, endOnFailure: true },
  );
}

// Late copies of rejections made bookings run twice, or be refused though they
// ran; stray bytes reached callers as a success.
test.serial("no script of copies and stray bytes gives a caller another answer, a second run or a false refusal", async (t) => {
  const result = await playScripts(t, SCRIPTS);
  t.false(result.failed, fc.defaultReportMessage(result) ?? "");
});

const ANSWER: ResponseMatch = { kind: "answer" };
const MATCHER_DEFECTS: Record<
  string,
  (match: ResponseMatch, claim: ResponseClaim) => ResponseMatch
> = {
  "ids aren't compared": (match) =>
    match.kind === "mismatch" && match.reason === "other request"
      ? ANSWER
      : match,
  "successes need no signature and no id": (match, { status }) =>
    match.kind === "mismatch" && status === 200 ? ANSWER : match,
  "a connection is used again after a rejection without an id": (match) =>
    match.kind === "notRun" ? { ...match, mayReuse: true } : match,
};

for (const [defect, distort] of Object.entries(MATCHER_DEFECTS)) {
  test.serial(`the scripts find a matcher in which ${defect}`, async (t) => {
    const { match } = ResponseMatcher.prototype;
    ResponseMatcher.prototype.match = function (id, claim) {
      return distort(match.call(this, id, claim), claim);
    };
    const result = await playScripts(t, MAX_SCRIPTS_UNTIL_FOUND)
      .finally(() => ResponseMatcher.prototype.match = match);
    t.true(result.failed);
    t.log(`found by script ${result.numRuns}`);
  });
}

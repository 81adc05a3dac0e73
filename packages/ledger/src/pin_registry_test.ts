import test from "ava";
import fc from "fast-check";
import { PinRegistry } from "./pin_registry.ts";

const SEED = 20_261_204;
const RUNS = 5000;
const AGENTS = 3;
const MODEL = "m";

interface FakeAgent {
  readonly board: PinRegistry;
  isReady: boolean;
  /** Agents that this one may still ask while it unloads. */
  asking: number[] | undefined;
  /** Whether another agent has promised to keep the model. */
  isCovered: boolean;
}

class Fleet {
  readonly agents: FakeAgent[] = Array.from({ length: AGENTS }, () => ({
    board: PinRegistry.create(),
    isReady: true,
    asking: undefined,
    isCovered: false,
  }));

  begin(index: number): void {
    const agent = this.agents[index]!;
    if (!agent.isReady || agent.asking) return;
    if (!agent.board.beginUnload(MODEL)) return;
    agent.isCovered = false;
    agent.asking = this.agents.map((_, other) => other)
      .filter((other) => other !== index);
  }

  /** Asks the next agent, or ends the unload one way or the other. */
  proceed(index: number): void {
    const agent = this.agents[index]!;
    if (!agent.asking) return;
    if (agent.isCovered) {
      agent.isReady = false;
      this.#end(agent);
      return;
    }
    const other = agent.asking.shift();
    if (other === undefined) {
      this.#end(agent);
      return;
    }
    const { board, isReady } = this.agents[other]!;
    const answer = board.pin(MODEL, isReady);
    agent.isCovered = answer === "pinned";
  }

  load(index: number): void {
    const agent = this.agents[index]!;
    if (!agent.asking) agent.isReady = true;
  }

  get readyCount(): number {
    return this.agents.filter(({ isReady }) => isReady).length;
  }

  #end(agent: FakeAgent): void {
    agent.asking = undefined;
    agent.board.endUnload(MODEL);
  }
}

type Step = [string, (fleet: Fleet) => void];

const index = fc.integer({ min: 0, max: AGENTS - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  index.map((i): Step => [`begin ${i}`, (fleet) => fleet.begin(i)]),
  index.map((i): Step => [`proceed ${i}`, (fleet) => fleet.proceed(i)]),
  index.map((i): Step => [`proceed ${i}`, (fleet) => fleet.proceed(i)]),
  index.map((i): Step => [`load ${i}`, (fleet) => fleet.load(i)]),
);

test("no interleaving of unloads removes a model's last replica", (t) => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 60 }), (steps) => {
      const fleet = new Fleet();
      for (const [, run] of steps) {
        run(fleet);
        if (fleet.readyCount === 0) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("two agents that ask each other both keep their replica", (t) => {
  const fleet = new Fleet();
  fleet.agents[2]!.isReady = false;
  fleet.begin(0);
  fleet.begin(1);
  for (let round = 0; round < 4; round += 1) {
    fleet.proceed(0);
    fleet.proceed(1);
  }
  t.is(fleet.readyCount, 2);
});

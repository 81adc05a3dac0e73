import test from "ava";
import fc from "fast-check";
import { PinRegistry } from "./pin_registry.ts";

const SEED = 20_261_204;
const RUNS = 5000;
const AGENTS = 3;
const MODEL = "m";

interface FakeAgent {
  readonly pins: PinRegistry;
  isReady: boolean;
  /** Agents from which this one may still request a pin for its unload. */
  agentsToAsk: number[] | undefined;
  /** Whether another agent has granted a pin for the model. */
  isPinned: boolean;
}

class Fleet {
  readonly agents: FakeAgent[] = Array.from({ length: AGENTS }, () => ({
    pins: PinRegistry.create(),
    isReady: true,
    agentsToAsk: undefined,
    isPinned: false,
  }));

  begin(index: number): void {
    const agent = this.agents[index]!;
    if (!agent.isReady || agent.agentsToAsk) return;
    if (!agent.pins.beginUnload(MODEL)) return;
    agent.isPinned = false;
    agent.agentsToAsk = this.agents.map((_, other) => other)
      .filter((other) => other !== index);
  }

  /** Requests a pin from the next agent, or carries out or ends the unload. */
  proceed(index: number): void {
    const agent = this.agents[index]!;
    if (!agent.agentsToAsk) return;
    if (agent.isPinned) {
      agent.isReady = false;
      this.#end(agent);
      return;
    }
    const other = agent.agentsToAsk.shift();
    if (other === undefined) {
      this.#end(agent);
      return;
    }
    const { pins, isReady } = this.agents[other]!;
    const answer = pins.pin(MODEL, isReady);
    agent.isPinned = answer === "pinned";
  }

  load(index: number): void {
    const agent = this.agents[index]!;
    if (!agent.agentsToAsk) agent.isReady = true;
  }

  get readyCount(): number {
    return this.agents.filter(({ isReady }) => isReady).length;
  }

  #end(agent: FakeAgent): void {
    agent.agentsToAsk = undefined;
    agent.pins.endUnload(MODEL);
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

test("no interleaving of unloads and loads removes a model's last replica", (t) => {
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

test("two agents that request pins from each other both keep their replica", (t) => {
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

/** Weight of the newest measurement once there are many. */
const SMOOTHING = 0.05;
/** Assumed time of a plain request before a measurement, in ms. */
const INITIAL_SERVICE_TIME_MS = 30;
/** Assumed time of a request to a model before a measurement, in ms. */
const INITIAL_GENERATION_TIME_MS = 1000;
/** Assumed prefill time of a prompt token before a measurement, in ms. */
const INITIAL_PREFILL_MS = 1 / 30;
/** A later time of a request counts as this multiple of the mean at most. */
const MAX_REQUEST_RATIO = 4;
/** A later prefill time counts as this multiple of the mean at most. */
const MAX_PREFILL_RATIO = 2;
/** A later ratio of a short prompt counts as this multiple at most. */
const MAX_SHORT_RATIO = 2;
/** Largest ratio of one of the first measurements to the mean, either way. */
const MAX_FIRST_RATIO = 16;

/**
 * Geometric mean of the first measurements, in which a connection's set-up
 * counts little and the assumed value as one, then their moving average.
 */
export class MovingMean {
  /** Value assumed before the first measurement. */
  readonly initial: number;
  readonly #maxRatio: number;
  #value: number;
  #measurements = 0;
  #measuredAt = -Infinity;

  private constructor(initial: number, maxRatio: number) {
    this.initial = initial;
    this.#value = initial;
    this.#maxRatio = maxRatio;
  }

  /** Creates a mean that has an assumed value until the first measurement. */
  static create(
    { initial, maxRatio }: { initial: number; maxRatio: number },
  ): MovingMean {
    return new MovingMean(initial, maxRatio);
  }

  /** Mean so far. */
  get value(): number {
    return this.#value;
  }

  /** How well the value is known, from 0 without measurements to 1. */
  get certainty(): number {
    return Math.min(1, this.#measurements * SMOOTHING) ** 2;
  }

  /** When it was measured last, in ms; -Infinity before. */
  get measuredAt(): number {
    return this.#measuredAt;
  }

  /** Adds a measurement above 0. */
  add(measured: number, now: number): void {
    this.#measurements += 1;
    this.#measuredAt = now;
    const weight = 1 / (this.#measurements + 1);
    const ratio = measured / this.#value;
    if (weight > SMOOTHING) {
      const bounded = Math.min(MAX_FIRST_RATIO, ratio);
      this.#value *= Math.max(1 / MAX_FIRST_RATIO, bounded) ** weight;
      return;
    }
    this.#value *= 1 + SMOOTHING * (Math.min(this.#maxRatio, ratio) - 1);
  }

  /** Multiplies what was measured. */
  scale(factor: number): void {
    if (this.#measurements > 0) this.#value *= factor;
  }
}

/** Times at an average replica of one service. */
export class ServiceEstimate {
  /** Time of a request, in ms. */
  readonly requestMs: MovingMean;
  readonly #prefillMs: Map<string, MovingMean> = new Map();
  readonly #shortRatios: Map<string, MovingMean> = new Map();

  private constructor(requestMs: MovingMean) {
    this.requestMs = requestMs;
  }

  /** Creates an estimate without measurements. */
  static create({ isPlain }: { isPlain: boolean }): ServiceEstimate {
    const requestMs = MovingMean.create({
      initial: isPlain ? INITIAL_SERVICE_TIME_MS : INITIAL_GENERATION_TIME_MS,
      maxRatio: MAX_REQUEST_RATIO,
    });
    return new ServiceEstimate(requestMs);
  }

  /** Prefill time of a prompt token of a model, in ms. */
  prefillMsOf(model: string): MovingMean {
    const existing = this.#prefillMs.get(model);
    if (existing) return existing;
    const created = MovingMean.create({
      initial: INITIAL_PREFILL_MS,
      maxRatio: MAX_PREFILL_RATIO,
    });
    this.#prefillMs.set(model, created);
    return created;
  }

  /** Time of a model's short prompts, as a multiple of the predicted one. */
  shortRatioOf(model: string): MovingMean {
    const existing = this.#shortRatios.get(model);
    if (existing) return existing;
    const created = MovingMean.create({
      initial: 1,
      maxRatio: MAX_SHORT_RATIO,
    });
    this.#shortRatios.set(model, created);
    return created;
  }

  /** Multiplies all times that were measured. */
  scale(factor: number): void {
    this.requestMs.scale(factor);
    for (const prefillMs of this.#prefillMs.values()) prefillMs.scale(factor);
  }
}

import type { MemberHosts } from "./member_table.ts";

/** Options of {@link KnownMembers.create}. */
export interface KnownMembersOptions {
  /** Instance name of this gateway. */
  readonly instance: string;
  /** IP address of this gateway. */
  readonly host: string;
  /** Whether another gateway reported within the last few report intervals. */
  readonly isResponsive: (instance: string) => boolean;
}

/**
 * Whether a gateway that has just started knows all others. If its row was in the
 * member table before it started, so were those of all others that ran then: who
 * comes later settles first. A gateway without an earlier row may be one of
 * several that find each other only later.
 */
export class KnownMembers {
  readonly #options: KnownMembersOptions;
  #isReturning: boolean | undefined;
  /** Whether the row can be read, by other instance that any read returned. */
  readonly #others: Map<string, boolean> = new Map();

  private constructor(options: KnownMembersOptions) {
    this.#options = options;
  }

  /** Creates the state before the first read of the member table. */
  static create(options: KnownMembersOptions): KnownMembers {
    return new KnownMembers(options);
  }

  /**
   * Records what a read of the member table returned. A restored table may lack
   * rows of earlier reads, whose gateways still run.
   */
  recordRead(hosts: MemberHosts): void {
    const { instance, host } = this.#options;
    this.#isReturning ??= hosts.get(instance) === host;
    for (const [name, other] of hosts) {
      if (name !== instance) this.#others.set(name, other !== undefined);
    }
  }

  /** Whether this gateway was a member before, and each other one reports now. */
  get hasHeardAll(): boolean {
    return this.#isReturning === true &&
      [...this.#others].every(([name, isReadable]) =>
        isReadable && this.#options.isResponsive(name)
      );
  }
}

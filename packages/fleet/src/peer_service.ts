import { create, toBinary } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import {
  createGoneReport,
  fromWireDaemon,
  fromWireDemand,
  fromWireReport,
  type LedgerStatus,
  PeerService,
  type ShareStatus,
  type StatusResponse,
  StatusResponseSchema,
  type SyncRequest,
  SyncRequestSchema,
  type SyncResponse,
  SyncResponseSchema,
  toWireDaemon,
  toWireReport,
} from "@banyanspool/wire";
import { EMPTY_SECTIONS, stripKeyHashes } from "@banyanspool/config";
import type { FleetMember } from "./fleet_member.ts";

/** Options of {@link addPeerService}. */
export interface PeerServiceOptions {
  /** Fleet membership of this daemon. */
  readonly member: FleetMember;
  /**
   * Lends tokens of an organisation's share to a peer; returns how many. An
   * agent lends none.
   */
  readonly lend: (
    organisation: string,
    request: { loanId: string; tokens: number; forMs: number },
  ) => number;
  /** Closes a loan and takes back its unused tokens. */
  readonly closeLoan: (
    organisation: string,
    loanId: string,
    unused: number,
  ) => void;
  /** Returns the daemon's state for operators. */
  readonly status: () => {
    shares: ShareStatus[];
    ledgers: LedgerStatus[];
    reports: StatusResponse["replicas"];
    runningRequests: number;
    duties: string[];
  };
}

/** Adds the RPC service that every daemon offers its peers. */
export function addPeerService(
  router: ConnectRouter,
  options: PeerServiceOptions,
): void {
  const { member } = options;
  router.service(PeerService, {
    sync: (req) => {
      const res = handleSync(member, req);
      member.countSyncBytes({
        sent: toBinary(SyncResponseSchema, res),
        received: toBinary(SyncRequestSchema, req),
      });
      return res;
    },
    borrow: ({ organisation, loanId, tokens, forMs }) => ({
      granted: options.lend(organisation, { loanId, tokens, forMs }),
    }),
    settle: ({ organisation, loanId, unused }) => {
      options.closeLoan(organisation, loanId, unused);
      return {};
    },
    status: () => createStatus(options),
  });
}

function handleSync(member: FleetMember, req: SyncRequest): SyncResponse {
  const { collector, config } = member;
  if (req.sender && !req.directOnly) {
    collector.recordDaemon(fromWireDaemon(req.sender), {
      configVersion: Number(req.configVersion),
      demand: req.demand.map(fromWireDemand),
    });
  }
  for (const report of req.reports) {
    const { instance, agentIncarnation } = report;
    const source = `${instance}#${agentIncarnation}`;
    collector.recordReport(fromWireReport(report), { direct: true, source });
  }
  const isCursorValid = Number(req.cursorIncarnation) === collector.incarnation;
  const cursor = isCursorValid ? Number(req.cursor) : 0;
  const changes = req.wantsReports
    ? collector.changesSince(cursor, req.directOnly)
    : { reports: [], gone: [], cursor: 0 };
  const reached = req.directOnly
    ? collector.daemons().length
    : member.countReached();
  return create(SyncResponseSchema, {
    incarnation: BigInt(collector.incarnation),
    configVersion: BigInt(config.version),
    confirmedAgeMs: toWireAge(config.confirmedAgeMs),
    configDocument: createConfigUpdate(member, req),
    reports: [
      ...changes.reports.map(toWireReport),
      ...changes.gone.map(createGoneReport),
    ],
    cursor: BigInt(changes.cursor),
    daemonsReached: reached,
    daemonsKnown: member.liveInstances.listed.length,
  });
}

/**
 * Returns the sections that are new to the sender, as JSON; empty if there are
 * none. Agents hold no key hashes and receive none, so an agent sends no
 * sections to an entry, which reads the store instead.
 */
function createConfigUpdate(member: FleetMember, req: SyncRequest): string {
  const change = member.config.changeSince(Number(req.configVersion));
  if (!change) return "";
  if (req.sender?.role === "entry") {
    return member.identity.role === "entry" ? JSON.stringify(change) : "";
  }
  const { organisations } = change.texts;
  if (organisations === undefined) return JSON.stringify(change);
  const texts = stripKeyHashes({ ...EMPTY_SECTIONS, organisations });
  const stripped = { ...change.texts, organisations: texts.organisations };
  return JSON.stringify({ ...change, texts: stripped });
}

function createStatus(options: PeerServiceOptions): StatusResponse {
  const { member } = options;
  const status = options.status();
  return create(StatusResponseSchema, {
    daemon: toWireDaemon(member.identity),
    configVersion: BigInt(member.config.version),
    confirmedAgeMs: toWireAge(member.config.confirmedAgeMs),
    freshness: member.freshness,
    replicas: status.reports,
    shares: status.shares,
    ledgers: status.ledgers,
    runningRequests: status.runningRequests,
    duties: status.duties,
  });
}

function toWireAge(ageMs: number): bigint {
  return Number.isFinite(ageMs) ? BigInt(Math.ceil(ageMs)) : -1n;
}

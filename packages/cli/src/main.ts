#!/usr/bin/env node
import { Builtins, Cli } from "clipanion";
import { AuditCommand } from "./commands/audit.ts";
import { AuditVerifyCommand } from "./commands/audit_verify.ts";
import { ConfigAcceptCommand } from "./commands/config_accept.ts";
import { ConfigCheckCommand } from "./commands/config_check.ts";
import { ConfigDiffCommand } from "./commands/config_diff.ts";
import { ConfigEditCommand } from "./commands/config_edit.ts";
import { ConfigHistoryCommand } from "./commands/config_history.ts";
import { ConfigShowCommand } from "./commands/config_show.ts";
import { ConfigStatusCommand } from "./commands/config_status.ts";
import { EvacuationsCommand } from "./commands/evacuations.ts";
import { KeysGrantCommand } from "./commands/keys_grant.ts";
import { KeysWithdrawCommand } from "./commands/keys_withdraw.ts";
import { LogsCausesCommand } from "./commands/logs_causes.ts";
import { LogsFollowCommand } from "./commands/logs_follow.ts";
import { ReplayCommand } from "./commands/replay.ts";
import { StatusCommand } from "./commands/status.ts";

const COMMANDS = [
  AuditCommand,
  AuditVerifyCommand,
  ConfigAcceptCommand,
  ConfigCheckCommand,
  ConfigDiffCommand,
  ConfigEditCommand,
  ConfigHistoryCommand,
  ConfigShowCommand,
  ConfigStatusCommand,
  EvacuationsCommand,
  KeysGrantCommand,
  KeysWithdrawCommand,
  LogsCausesCommand,
  LogsFollowCommand,
  ReplayCommand,
  StatusCommand,
  Builtins.HelpCommand,
  Builtins.VersionCommand,
];

const cli = new Cli({
  binaryLabel: "banyanspool",
  binaryName: "banyanspool",
  binaryVersion: "0.1.0",
});
for (const command of COMMANDS) cli.register(command);
await cli.runExit(process.argv.slice(2));
process.exit();

import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { Deployment } from "./deployment.ts";

/** Result of a run of the operators' client. */
export interface ClientRun {
  /** Exit code; null if a signal ended the process. */
  readonly code: number | null;
  /** Standard output. */
  readonly stdout: string;
  /** Standard error. */
  readonly stderr: string;
}

/** Runs the operators' client, with a deployment's settings if one is given. */
export async function runClient(
  deployment: Pick<Deployment, "clientSettings"> | undefined,
  args: readonly string[],
): Promise<ClientRun> {
  const file = fileURLToPath(
    new URL("../../cli/dist/main.js", import.meta.url),
  );
  const child = spawn(process.execPath, [file, ...args], {
    env: {
      ...process.env,
      NODE_OPTIONS: "",
      ...deployment && { BANYANSPOOL_SETTINGS: deployment.clientSettings },
    },
    stdio: ["ignore", "pipe", "pipe"],
  });
  let stdout = "";
  let stderr = "";
  child.stdout.on("data", (bytes: Buffer) => stdout += bytes.toString());
  child.stderr.on("data", (bytes: Buffer) => stderr += bytes.toString());
  const code = await new Promise<number | null>((resolve) =>
    child.on("close", resolve)
  );
  return { code, stdout, stderr };
}

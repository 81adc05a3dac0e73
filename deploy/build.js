// Bundles the gateway into one file, because it starts faster than separate
// modules.
import { build } from "esbuild";

await build({
  entryPoints: { banyanspoold: "packages/daemon/src/gateway_main.ts" },
  outdir: "target",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  outExtension: { ".js": ".cjs" },
  conditions: ["source"],
  legalComments: "none",
  logLevel: "warning",
});

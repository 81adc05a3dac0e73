import workspace from "./package.json" with { type: "json" };

/** Tests with crowds of clients, one at a time and apart from the others. */
export default {
  ...workspace.ava,
  files: ["packages/crowds/src/**/*_test.ts"],
  concurrency: 1,
  serial: true,
  timeout: "180s",
};

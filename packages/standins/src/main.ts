import { startEngineServer } from "./engine_server.ts";
import { startPlatformServer } from "./platform_server.ts";
import { startServiceServer } from "./service_server.ts";

const [kind, text = "{}"] = process.argv.slice(2);
const options = JSON.parse(text);

switch (kind) {
  case "platform":
    await startPlatformServer(options.port);
    break;
  case "engine":
    await startEngineServer(options);
    break;
  case "service":
    await startServiceServer(options.port);
    break;
  default:
    process.stderr.write(`Unknown stand-in "${kind}"\n`);
    process.exit(2);
}
process.stdout.write(`ready ${kind}\n`);

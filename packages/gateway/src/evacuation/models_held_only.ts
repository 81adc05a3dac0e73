import type { GatewayContext } from "../context.ts";

/**
 * The models that only an evacuated data centre holds, as `service/model`, by
 * data centre. A model that two evacuated ones hold is listed for both.
 */
export function findModelsHeldOnly(
  { evacuations, fleet, replicaTracker }: GatewayContext,
): Map<string, string[]> {
  const held = new Map<string, string[]>();
  if (evacuations.inForce.length === 0) return held;
  const services = fleet.activeConfiguration?.configuration.services;
  for (const [service, { engine }] of services ?? []) {
    if (!engine) continue;
    const servers = [...replicaTracker.servers.values()]
      .filter((server) => server.service === service);
    const isEvacuated = ({ dataCentre }: { dataCentre: string }) =>
      evacuations.isEvacuated(dataCentre);
    const inside = servers.filter(isEvacuated);
    const outside = servers.filter((server) =>
      !server.draining && !isEvacuated(server)
    );
    for (const model of engine.models.keys()) {
      const holders = inside.filter((server) =>
        replicaTracker.isAvailable(server, model)
      );
      if (holders.length === 0) continue;
      if (outside.some((s) => replicaTracker.isAvailable(s, model))) continue;
      for (const dataCentre of new Set(holders.map((s) => s.dataCentre))) {
        const names = held.get(dataCentre) ?? [];
        names.push(`${service}/${model}`);
        held.set(dataCentre, names);
      }
    }
  }
  return held;
}

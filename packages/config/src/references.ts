import type { ConfigFault } from "./parse.ts";
import type { Document } from "./schema.ts";

/**
 * Returns the errors that can only be found in the whole document: references
 * to entries that don't exist, names and key hashes used twice, reserved paths,
 * and models that don't fit into the accelerators' memory.
 */
export function checkReferences(document: Document): ConfigFault[] {
  return [
    ...checkLimits(document),
    ...checkModels(document),
    ...checkKeys(document),
    ...checkRoutes(document),
  ];
}

function checkLimits(document: Document): ConfigFault[] {
  const faults: ConfigFault[] = [];
  for (const organisation of Object.keys(document.limits)) {
    if (organisation in document.organisations) continue;
    faults.push({
      section: "limits",
      key: organisation,
      message: `organisation "${organisation}" does not exist`,
    });
  }
  return faults;
}

function checkModels(document: Document): ConfigFault[] {
  const faults: ConfigFault[] = [];
  const sizes = Object.values(document.instances).flatMap((instance) =>
    instance.accelerator_memory_mib
  );
  const largestMib = Math.max(0, ...sizes);
  const names = new Set(Object.keys(document.models));
  for (const [model, entry] of Object.entries(document.models)) {
    const kvMib = Math.ceil(
      entry.kv_kib_per_token * entry.context_tokens / 1024,
    );
    const neededMib = entry.weights_mib + kvMib;
    if (sizes.length > 0 && neededMib > largestMib) {
      faults.push({
        section: "models",
        key: `${model}.weights_mib`,
        message:
          `model "${model}" needs ${neededMib} MiB with one full context, but the largest accelerator has ${largestMib} MiB`,
      });
    }
    for (const organisation of entry.organisations ?? []) {
      if (organisation in document.organisations) continue;
      faults.push({
        section: "models",
        key: `${model}.organisations`,
        message: `organisation "${organisation}" does not exist`,
      });
    }
    for (const adapter of Object.keys(entry.adapters)) {
      if (!names.has(adapter)) {
        names.add(adapter);
        continue;
      }
      faults.push({
        section: "models",
        key: `${model}.adapters.${adapter}`,
        message: `the name "${adapter}" is used twice`,
      });
    }
  }
  const totalMib = sizes.reduce((sum, size) => sum + size, 0);
  const requiredMib = Object.values(document.models)
    .reduce((sum, model) => sum + model.weights_mib * model.min_replicas, 0);
  if (sizes.length > 0 && requiredMib > totalMib) {
    faults.push({
      section: "models",
      key: "",
      message:
        `all models need ${requiredMib} MiB for their weights, but all accelerators have ${totalMib} MiB`,
    });
  }
  return faults;
}

function checkKeys(document: Document): ConfigFault[] {
  const faults: ConfigFault[] = [];
  const keysByHash = new Map<string, string>();
  for (const [name, organisation] of Object.entries(document.organisations)) {
    for (const key of organisation.keys) {
      const sameHashKey = keysByHash.get(key.sha256);
      keysByHash.set(key.sha256, `${name}/${key.id}`);
      if (sameHashKey === undefined) continue;
      faults.push({
        section: "organisations",
        key: `${name}.keys`,
        message: `key "${key.id}" has the same hash as "${sameHashKey}"`,
      });
    }
  }
  return faults;
}

function checkRoutes(document: Document): ConfigFault[] {
  const faults: ConfigFault[] = [];
  const services = new Set(
    Object.values(document.instances).flatMap((instance) => instance.services),
  );
  for (const [name, route] of Object.entries(document.routes)) {
    if (!services.has(route.service)) {
      faults.push({
        section: "routes",
        key: `${name}.service`,
        message: `no instance has the service "${route.service}"`,
      });
    }
    if (route.path.startsWith("/v1/")) {
      faults.push({
        section: "routes",
        key: `${name}.path`,
        message: `the path "${route.path}" is reserved for models`,
      });
    }
    for (const organisation of route.organisations ?? []) {
      if (organisation in document.organisations) continue;
      faults.push({
        section: "routes",
        key: `${name}.organisations`,
        message: `organisation "${organisation}" does not exist`,
      });
    }
  }
  return faults;
}

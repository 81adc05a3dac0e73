/**
 * Commands of the program banyanspoold, which runs a gateway, an entry or an
 * agent.
 *
 * @module
 */
export { AgentCommand } from "./agent_command.ts";
export { EntryCommand } from "./entry_command.ts";
export { GatewayCommand } from "./gateway_command.ts";

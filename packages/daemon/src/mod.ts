/**
 * The program banyanspoold.
 *
 * @module
 */
export { AgentCommand } from "./agent_command.ts";
export { EntryCommand } from "./entry_command.ts";
export { GatewayCommand } from "./gateway_command.ts";

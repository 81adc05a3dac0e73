/**
 * The program banyanspoold.
 *
 * @module
 */
export { AgentCommand } from "./agent_command.ts";
export { EntryCommand } from "./entry_command.ts";

/**
 * System tests that check the system's guarantees with separate processes.
 *
 * @module
 */
export {};

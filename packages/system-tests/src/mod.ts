/**
 * Proofs of the promises with real processes.
 *
 * @module
 */
export {};

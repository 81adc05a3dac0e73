const MAX_UINT32 = 0xffff_ffff;
const MAX_INT32 = 0x7fff_ffff;
const MIN_INT32 = -0x8000_0000;

/**
 * Returns the nearest value of an unsigned 32-bit field; 0 for a number that
 * isn't one.
 */
export function toUint32(value: number): number {
  return toNearest(value, 0, MAX_UINT32);
}

/** Returns the nearest value of a signed 32-bit field. */
export function toInt32(value: number): number {
  return toNearest(value, MIN_INT32, MAX_INT32);
}

/**
 * Returns the nearest value of an unsigned 64-bit field that a number holds
 * exactly.
 */
export function toUint64(value: number): bigint {
  return BigInt(toNearest(value, 0, Number.MAX_SAFE_INTEGER));
}

/** Returns the nearest value of a signed 64-bit field that a number holds. */
export function toInt64(value: number): bigint {
  const { MIN_SAFE_INTEGER, MAX_SAFE_INTEGER } = Number;
  return BigInt(toNearest(value, MIN_SAFE_INTEGER, MAX_SAFE_INTEGER));
}

function toNearest(value: number, min: number, max: number): number {
  if (Number.isNaN(value)) return Math.max(0, min);
  return Math.round(Math.min(max, Math.max(min, value)));
}

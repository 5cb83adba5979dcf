/** Settings are nested four deep at most; messages between instances are encoded recursively. */
const MAX_DEPTH = 32;

/**
 * Decodes a value of the store, which another writer may have left there.
 *
 * @param text - the value as stored
 * @returns the value, or null, which no setting may have, if it cannot be read
 */
export function decodeStoredValue(text: string): unknown {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    // Counted among the invalid paths, like a value that does not match its schema.
    return null;
  }
  return isNestedWithin(value, MAX_DEPTH) ? value : null;
}

function isNestedWithin(value: unknown, depth: number): boolean {
  if (typeof value !== 'object' || value === null) return true;
  return depth > 0 && Object.values(value).every((item) => isNestedWithin(item, depth - 1));
}

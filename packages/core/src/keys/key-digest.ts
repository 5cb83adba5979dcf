/** Digests of keys and credentials; the keys themselves are never kept. */
import { createHash } from 'node:crypto';
import { type KeyDigest, toBrand } from '../types/ids.js';

/**
 * @param key - tenant key or operator's token as it was shown
 * @returns its SHA-256 digest in hexadecimal
 */
export function createKeyDigest(key: string): KeyDigest {
  return toBrand<KeyDigest>(createHash('sha256').update(key, 'utf8').digest('hex'));
}

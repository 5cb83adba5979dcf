import { createHash } from 'node:crypto';
import { type KeyDigest, toBrand } from '../types/ids.js';

/**
 * Computes the digest under which a key or token is stored; the plain text is never stored.
 *
 * @param key - tenant key or operator's token in plain text
 * @returns the SHA-256 digest in hexadecimal
 */
export function createKeyDigest(key: string): KeyDigest {
  return toBrand<KeyDigest>(createHash('sha256').update(key, 'utf8').digest('hex'));
}

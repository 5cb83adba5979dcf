import { createHash } from 'node:crypto';
import type { Access } from '../ports/caller-protocol.js';

/** A statement that a caller has prepared. */
export interface PreparedStatement {
  readonly access: Access;
  /** Definition of the statement, forwarded unchanged. */
  readonly shape: string;
  /** Identifies access and shape; of the same length for each. */
  readonly digest: string;
  /**
   * Length of the caller's name for it. A longer name at the member could make a statement longer than
   * a message may be.
   */
  readonly maxNameLength: number;
}

/**
 * Creates a prepared statement.
 *
 * @param access - whether it reads or writes
 * @param shape - its definition
 * @param maxNameLength - length of the caller's name for it
 */
export function createPreparedStatement(
  access: Access,
  shape: string,
  maxNameLength: number,
): PreparedStatement {
  // An access holds no blank, so two definitions never give the same input.
  const digest = createHash('sha256').update(`${access} ${shape}`).digest('base64url');
  return { access, shape, digest, maxNameLength };
}

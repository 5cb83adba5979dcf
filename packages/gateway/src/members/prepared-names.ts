import type { MemberCommand } from '../ports/member-protocol.js';
import type { PreparedStatement } from './prepared-statement.js';

/**
 * Names of statements at a member. One character each, so that a statement is never longer with its name
 * at the member than with the name that its caller chose.
 */
const NAMES = 'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789';

/** Maximum number of statements that stay prepared on one connection. */
export const MAX_PREPARED_STATEMENTS = NAMES.length;

/** The name of a statement, and the commands that prepare it under that name. */
export interface NamedStatement {
  readonly name: string;
  readonly setup: readonly MemberCommand[];
}

/**
 * Gives names to the statements that are prepared on one connection. Names say nothing about the
 * statement; once all are in use, the statement that was not used for longest is removed.
 */
export class PreparedNames {
  /** Names by digest of the statement, the least recently used first. */
  private readonly names = new Map<string, string>();

  /**
   * @param statement - statement that is to run
   * @returns its name, and the commands that must precede it
   */
  resolve(statement: PreparedStatement): NamedStatement {
    const { digest, access, shape } = statement;
    const known = this.names.get(digest);
    this.names.delete(digest);
    if (known !== undefined) {
      this.names.set(digest, known);
      return { name: known, setup: [] };
    }
    const unused = NAMES[this.names.size];
    const name = unused ?? this.removeOldest();
    this.names.set(digest, name);
    const prepare: MemberCommand = { kind: 'prepare', name, access, shape };
    const isTaken = unused === undefined;
    return { name, setup: isTaken ? [{ kind: 'deallocate', name }, prepare] : [prepare] };
  }

  /** Forgets all names, as the member does when the connection is reset. */
  clear(): void {
    this.names.clear();
  }

  private removeOldest(): string {
    const [oldest] = this.names;
    if (oldest === undefined) throw new Error('no statement is prepared');
    const [digest, name] = oldest;
    this.names.delete(digest);
    return name;
  }
}

import type { MemberCommand, PrepareCommand } from '../ports/member-protocol.js';
import type { PreparedStatement } from './prepared-statement.js';

const NAME_CHARACTERS = 'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789';
const ONE_CHARACTER_NAMES = [...NAME_CHARACTERS];
/** Statements that stay prepared on a connection under names of two characters. */
const TWO_CHARACTER_NAME_COUNT = 256;
const TWO_CHARACTER_NAMES = ONE_CHARACTER_NAMES.flatMap((first) =>
  ONE_CHARACTER_NAMES.map((second) => `${first}${second}`),
).slice(0, TWO_CHARACTER_NAME_COUNT);

/** Maximum number of statements that stay prepared on one connection. */
export const MAX_PREPARED_STATEMENTS = ONE_CHARACTER_NAMES.length + TWO_CHARACTER_NAMES.length;

/** The name of a statement at a member, and the commands that prepare it under that name. */
export interface NamedStatement {
  readonly name: string;
  /** Removes the statement that has the name; the member must have confirmed it before the next command. */
  readonly removal: readonly MemberCommand[];
  readonly preparation: readonly PrepareCommand[];
}

/** Names of one length; once all are in use, the one that was not used for longest is given again. */
class NamePool {
  /** Names by digest of the statement, the least recently used first. */
  private readonly used = new Map<string, string>();

  constructor(private readonly names: readonly string[]) {}

  resolve({ digest, access, shape }: PreparedStatement): NamedStatement {
    const known = this.used.get(digest);
    if (known !== undefined) {
      this.used.delete(digest);
      this.used.set(digest, known);
      return { name: known, removal: [], preparation: [] };
    }
    const unused = this.names[this.used.size];
    const name = unused ?? this.removeOldest();
    this.used.set(digest, name);
    const isTaken = unused === undefined;
    return {
      name,
      removal: isTaken ? [{ kind: 'deallocate', name }] : [],
      preparation: [{ kind: 'prepare', name, access, shape }],
    };
  }

  clear(): void {
    this.used.clear();
  }

  has({ digest }: PreparedStatement): boolean {
    return this.used.has(digest);
  }

  private removeOldest(): string {
    const [oldest] = this.used;
    if (oldest === undefined) throw new Error('no statement is prepared');
    const [digest, name] = oldest;
    this.used.delete(digest);
    return name;
  }
}

/**
 * Gives names to the statements that are prepared on one connection. Names say nothing about the
 * statement, and are no longer than the names that callers chose.
 */
export class PreparedNames {
  private readonly short = new NamePool(ONE_CHARACTER_NAMES);

  private readonly long = new NamePool(TWO_CHARACTER_NAMES);

  /**
   * @param statement - statement that is to run
   * @returns its name, and the commands that must precede it
   */
  resolve(statement: PreparedStatement): NamedStatement {
    return this.getPool(statement).resolve(statement);
  }

  /** @returns whether a statement has a name, so that no command must precede it */
  has(statement: PreparedStatement): boolean {
    return this.getPool(statement).has(statement);
  }

  /** Forgets all names, as the member does when the connection is reset. */
  clear(): void {
    this.short.clear();
    this.long.clear();
  }
  private getPool({ maxNameLength }: PreparedStatement): NamePool {
    return maxNameLength > 1 ? this.long : this.short;
  }
}

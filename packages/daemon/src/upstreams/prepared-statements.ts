/** Default number of statements that stay prepared on one connection. */
const MAX_PREPARED_STATEMENTS = 256;

/** Names of the prepared statements that a member has confirmed on one connection. */
export class PreparedStatements {
  /** In the order of their last use. */
  private readonly names = new Set<string>();

  /** @param limit - number of statements that are kept; those not used for longest are closed */
  constructor(private readonly limit = MAX_PREPARED_STATEMENTS) {}

  /**
   * Marks a statement as used.
   *
   * @param name - name at the member
   * @returns whether it is prepared
   */
  use(name: string): boolean {
    if (!this.names.delete(name)) return false;
    this.names.add(name);
    return true;
  }

  /** @param name - name whose Parse message the member has confirmed */
  add(name: string): void {
    this.names.delete(name);
    this.names.add(name);
  }

  /** @param name - name for which a Close message is sent */
  remove(name: string): void {
    this.names.delete(name);
  }

  /**
   * Chooses statements to close before others are prepared.
   *
   * @param used - names that the request to send refers to, which stay
   * @returns names above the limit, those not used for longest first
   */
  listExcess(used: ReadonlySet<string>): string[] {
    const excess = this.names.size + 1 - this.limit;
    if (excess <= 0) return [];
    return [...this.names].filter((name) => !used.has(name)).slice(0, excess);
  }
}

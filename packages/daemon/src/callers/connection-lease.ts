import type { PrimaryRecord } from '../groups/group-directory.js';
import type { UpstreamConnection } from '../upstreams/upstream-connection.js';
import type { UpstreamPool } from '../upstreams/upstream-pool.js';

/** Undoes what a session has set; RESET ALL alone leaves the role and the user. */
const RESET_SQL = 'SET SESSION AUTHORIZATION DEFAULT;RESET ROLE;RESET ALL';

/** A pooled connection reserved for one request or transaction. */
export class ConnectionLease {
  /** SQL statements that set the session's parameters, as one text. */
  parameterSql = '';

  private isEnded = false;

  constructor(
    readonly connection: UpstreamConnection,
    private readonly pool: UpstreamPool,
    /** Record of the primary if the connection was acquired for the primary. */
    readonly primary: PrimaryRecord | undefined,
  ) {}

  /** Returns the connection to the pool. */
  release(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.pool.release(this.connection);
  }

  /** Closes the connection, because its state is uncertain. */
  discard(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.pool.discard(this.connection);
  }

  /**
   * Sets a session's parameters on the connection, after resetting those of earlier sessions.
   *
   * @param parameterSql - SQL statements that set the parameters
   */
  async applyParameters(parameterSql: string): Promise<void> {
    const { connection } = this;
    this.parameterSql = parameterSql;
    if (connection.appliedParameters === parameterSql) return;
    await connection.query(`${RESET_SQL};${parameterSql}`);
    connection.appliedParameters = parameterSql;
  }
}

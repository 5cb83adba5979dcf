/** A connection in the hands of one request or transaction. */
import type { PrimaryRecord } from '../groups/group-directory.js';
import type { UpstreamConnection } from '../upstreams/upstream-connection.js';
import type { UpstreamPool } from '../upstreams/upstream-pool.js';

/** A connection and where to give it back. */
export class ConnectionLease {
  private ended = false;

  constructor(
    readonly connection: UpstreamConnection,
    private readonly pool: UpstreamPool,
    /** Set if the member was chosen as primary. */
    readonly primary: PrimaryRecord | undefined,
  ) {}

  /** Gives the connection back for others to use. */
  release(): void {
    if (this.ended) return;
    this.ended = true;
    this.pool.release(this.connection);
  }

  /** Ends the connection, because its state is not certain. */
  discard(): void {
    if (this.ended) return;
    this.ended = true;
    this.pool.discard(this.connection);
  }

  /**
   * Brings the connection to a session's parameters.
   *
   * @param text - statements that set them
   */
  async applyParameters(text: string): Promise<void> {
    const { connection } = this;
    if (connection.appliedParameters === text) return;
    await connection.query(text === '' ? 'RESET ALL' : `RESET ALL;${text}`);
    connection.appliedParameters = text;
  }
}

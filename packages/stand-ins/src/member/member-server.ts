import { createServer, type Server, type Socket } from 'node:net';
import type { MemberConfig } from './member-config.js';
import { MemberSession, type SessionHost } from './member-session.js';
import { Member } from './member.js';
import { loadParser } from './sql/statement.js';

/** Serves a stand-in member over PostgreSQL's protocol. */
export class MemberServer implements SessionHost {
  readonly member: Member;

  private readonly sessions = new Set<MemberSession>();

  private readonly server: Server;

  private peakCallerSessions = 0;

  /**
   * @param config - the member's settings
   * @param onBytes - called with every received chunk, for tests
   */
  constructor(
    private readonly config: MemberConfig,
    private readonly onBytes?: (chunk: Buffer) => void,
  ) {
    this.member = new Member(config, () => this.closeCallerSessions());
    this.server = createServer((socket) => this.acceptSocket(socket));
  }

  get connectMs(): number {
    return this.config.connectMs;
  }

  /** @returns highest number of callers' sessions that were open at once */
  get peakSessions(): number {
    return this.peakCallerSessions;
  }

  /** Loads the SQL parser, starts replication and listens. */
  async start(): Promise<void> {
    await loadParser();
    await this.member.start();
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.config.port, this.config.host, resolve);
    });
  }

  /** Drops everything received on the connections that are open now; new connections work. */
  silenceSessions(): void {
    for (const session of this.sessions) session.isSilent = true;
  }

  /** Stops replication and listening, and closes all sessions at once. */
  stop(): void {
    this.member.stop();
    this.server.close();
    for (const session of this.sessions) session.kill();
  }

  admitSession(isControl: boolean): boolean {
    const count = [...this.sessions].filter((session) => session.isControl === isControl).length;
    const { connectionLimit, reservedConnections } = this.config;
    if (!isControl) this.peakCallerSessions = Math.max(this.peakCallerSessions, count);
    return count <= (isControl ? reservedConnections : connectionLimit);
  }

  private acceptSocket(socket: Socket): void {
    if (this.onBytes) socket.on('data', this.onBytes);
    this.sessions.add(
      new MemberSession(socket, this, (session) => {
        this.sessions.delete(session);
      }),
    );
  }

  private closeCallerSessions(): void {
    for (const session of this.sessions) if (!session.isControl) session.kill();
  }
}

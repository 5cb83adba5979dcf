/** The network side of a stand-in member. */
import { createServer, type Server, type Socket } from 'node:net';
import type { MemberConfig } from './member-config.js';
import { MemberSession, type SessionHost } from './member-session.js';
import { Member } from './member.js';
import { loadGrammar } from './sql/statement.js';

/** Serves one member over TCP. */
export class MemberServer implements SessionHost {
  readonly member: Member;

  private readonly sessions = new Set<MemberSession>();

  private readonly server: Server;

  private mostCallers = 0;

  /**
   * @param config - the member's settings
   * @param onBytes - sees every byte received, for tests
   */
  constructor(
    private readonly config: MemberConfig,
    private readonly onBytes?: (chunk: Buffer) => void,
  ) {
    this.member = new Member(config, () => this.endCallers());
    this.server = createServer((socket) => this.accept(socket));
  }

  get connectMs(): number {
    return this.config.connectMs;
  }

  /** @returns most sessions of callers that were open at once */
  get peakSessions(): number {
    return this.mostCallers;
  }

  /** Starts to listen. */
  async start(): Promise<void> {
    await loadGrammar();
    await this.member.start();
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.config.port, this.config.host, resolve);
    });
  }

  /** Lets nothing more pass on the connections that are open now; new ones work. */
  silenceSessions(): void {
    for (const session of this.sessions) session.isSilent = true;
  }

  /** Ends everything at once. */
  stop(): void {
    this.member.stop();
    this.server.close();
    for (const session of this.sessions) session.kill();
  }

  admit(isControl: boolean): boolean {
    const count = [...this.sessions].filter((session) => session.isControl === isControl).length;
    const { connectionLimit, reservedConnections } = this.config;
    if (!isControl) this.mostCallers = Math.max(this.mostCallers, count);
    return count <= (isControl ? reservedConnections : connectionLimit);
  }

  private accept(socket: Socket): void {
    if (this.onBytes) socket.on('data', this.onBytes);
    this.sessions.add(
      new MemberSession(socket, this, (session) => {
        this.sessions.delete(session);
      }),
    );
  }

  private endCallers(): void {
    for (const session of this.sessions) if (!session.isControl) session.kill();
  }
}

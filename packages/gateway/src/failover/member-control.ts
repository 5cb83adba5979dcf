import {
  type Clock,
  type MemberEndpoint,
  type OrganisationId,
  type Term,
} from '@heatherledge/core';
import { type MemberConnectionListener, MemberConnection } from '../members/member-connection.js';
import type {
  MemberCommand,
  MemberConnector,
  MemberStatus,
  MemberTarget,
} from '../ports/member-protocol.js';

/** A control command to which a member replies with its status. */
export type ControlCommand = Extract<
  MemberCommand,
  { kind: 'status' | 'pause' | 'resume' | 'step-down' }
>;

/** How a command to a member ended. */
export type ControlOutcome =
  | { readonly kind: 'answered'; readonly status: MemberStatus }
  /** Another member responds at the address. */
  | { readonly kind: 'wrong-member' }
  /** No valid reply arrived in time; the command may have been carried out. */
  | { readonly kind: 'lost' };

/**
 * Time for the connection, the command and its retries; a round trip between regions takes 24 ms.
 */
const EXCHANGE_TIMEOUT_MS = 500;
/** Delay before a command that a busy member refused is sent again. */
const BUSY_RETRY_DELAY_MS = 20;

const NOOP_LISTENER: MemberConnectionListener = {
  onOpen() {},
  onClosed() {},
  onReply() {},
  onPrepare() {},
};

/**
 * Sends the control commands of a change of primary, over one connection to each member that
 * carries nothing else.
 */
export class MemberControl {
  private readonly connections = new Map<string, MemberConnection>();

  /**
   * @param connector - opens connections to members
   * @param clock - clock of this instance
   * @param listOrganisations - returns the organisations in whose names connections may be opened
   */
  constructor(
    private readonly connector: MemberConnector,
    private readonly clock: Clock,
    private readonly listOrganisations: () => readonly OrganisationId[],
  ) {}

  /**
   * Sends a command, and sends it again while the member is busy.
   *
   * @param member - the member, which need not be listed
   * @param command - the command
   * @returns the member's status after the command, or undefined without a valid reply in time
   */
  async sendCommand(
    member: MemberEndpoint,
    command: ControlCommand,
  ): Promise<MemberStatus | undefined> {
    const outcome = await this.exchange(member, command);
    return outcome.kind === 'answered' ? outcome.status : undefined;
  }

  /**
   * Sends a command like `sendCommand`, and tells why there is no status.
   *
   * @param member - the member, which need not be listed
   * @param command - the command
   */
  async exchange(member: MemberEndpoint, command: ControlCommand): Promise<ControlOutcome> {
    const deadline = this.clock.now() + EXCHANGE_TIMEOUT_MS;
    while (this.clock.now() < deadline) {
      const connection = this.getConnection(member);
      const exchange = await connection.exchange(command, deadline - this.clock.now());
      if (exchange.kind === 'answered' && exchange.reply.error === undefined) {
        const status = this.connector.decodeStatus(exchange.reply.rows);
        return status === undefined ? { kind: 'lost' } : { kind: 'answered', status };
      }
      // A member that is busy or has reached its connection limit is up: the command is retried.
      const code = exchange.kind === 'lost' ? exchange.code : exchange.reply.error?.code;
      if (code === 'wrong-member') return { kind: 'wrong-member' };
      if (code !== 'busy' && code !== 'connection-limit') return { kind: 'lost' };
      await new Promise((resolve) => {
        setTimeout(resolve, BUSY_RETRY_DELAY_MS);
      });
    }
    return { kind: 'lost' };
  }

  /** Computes a term above all terms that the members report. */
  static computeNextTerm(statuses: readonly (MemberStatus | undefined)[]): Term {
    const terms = statuses.flatMap((status) => (status ? [status.term, status.heldTerm] : []));
    return (Math.max(0, ...terms) + 1) as Term;
  }

  /** @returns number of control connections that are kept */
  get connectionCount(): number {
    return this.connections.size;
  }

  /** Closes all control connections. */
  close(): void {
    for (const connection of this.connections.values()) connection.close();
    this.connections.clear();
  }

  private getConnection(entry: MemberEndpoint): MemberConnection {
    const key = `${entry.id}/${entry.incarnation}`;
    const existing = this.connections.get(key);
    if (existing !== undefined && !existing.isClosed) return existing;
    for (const [other, { isClosed }] of this.connections) {
      if (isClosed) this.connections.delete(other);
    }
    const targets = this.listOrganisations().map((organisation) =>
      createTarget(entry, organisation),
    );
    const target =
      targets.find((candidate) => this.connector.mayOpen(candidate)) ??
      createTarget(entry, undefined);
    const connection = new MemberConnection(this.connector, target, NOOP_LISTENER, this.clock);
    this.connections.set(key, connection);
    return connection;
  }
}

function createTarget(
  entry: MemberEndpoint,
  organisation: OrganisationId | undefined,
): MemberTarget {
  return { entry, group: entry.group, organisation };
}

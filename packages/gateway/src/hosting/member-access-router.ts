import type { Clock, InstanceId, MemberId } from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { MemberRegistry } from '../members/member-registry.js';
import type { EventLog } from '../runtime/event-log.js';
import type { HostDirectory } from './host-directory.js';
import {
  type BeginRequest,
  type BeginResult,
  createRefusal,
  type MemberAccess,
  type StatementRequest,
  type StatementResult,
} from './member-access.js';
import { RemoteMemberAccess } from './remote-member-access.js';

/** Interval at which silent and unavailable hosts are looked for. */
const PING_CHECK_INTERVAL_MS = 50;
/** Maximum wait for the response to a ping; a round trip between regions takes 24 ms. */
const PING_TIMEOUT_MS = 250;

/** Runs each statement at the host of its member: this instance or another one. */
export class MemberAccessRouter implements MemberAccess {
  private readonly remotes = new Map<InstanceId, RemoteMemberAccess>();

  private pingTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly directory: HostDirectory,
    private readonly local: MemberAccess,
    private readonly memberRegistry: MemberRegistry,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    hub.handle('host.leaving', (_, from) => {
      directory.availability.recordLeaving(from, clock.now());
      log.info('host.leaving', { host: from });
      return undefined;
    });
  }

  /** Starts to ping silent hosts. */
  start(): void {
    this.pingTimer = setInterval(() => this.pingDueHosts(), PING_CHECK_INTERVAL_MS);
  }

  /** Stops the pings. */
  stop(): void {
    clearInterval(this.pingTimer);
  }

  async run(request: StatementRequest): Promise<StatementResult> {
    return this.callHost(request.member, async (access) => access.run(request));
  }

  async begin(request: BeginRequest): Promise<BeginResult> {
    return this.callHost(request.member, async (access) => access.begin(request));
  }

  private async callHost<Result extends StatementResult | BeginResult>(
    member: MemberId,
    call: (access: MemberAccess) => Promise<Result>,
  ): Promise<Result | ReturnType<typeof createRefusal>> {
    const entry = this.memberRegistry.findEntry(member);
    if (entry === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
    const host = this.directory.findHost(entry);
    const result = await call(host === this.self ? this.local : this.getRemote(host));
    if (result.kind === 'refused' && result.reason === 'unreachable') {
      this.directory.recordUnreachableMember(host, member);
      this.log.info('host.member.unreachable', { host, member, reason: result.text });
    }
    return result;
  }

  private getRemote(host: InstanceId): RemoteMemberAccess {
    const known = this.remotes.get(host);
    if (known !== undefined) return known;
    const { hub, directory, memberRegistry, clock } = this;
    const remote = new RemoteMemberAccess(host, hub, directory, memberRegistry, clock);
    this.remotes.set(host, remote);
    return remote;
  }

  private pingDueHosts(): void {
    const { availability } = this.directory;
    for (const host of availability.takeDuePings(this.clock.now())) void this.ping(host);
  }

  private async ping(host: InstanceId): Promise<void> {
    const { availability } = this.directory;
    const exchange = await this.hub.exchange(host, { kind: 'peer.ping' }, PING_TIMEOUT_MS);
    const now = this.clock.now();
    if (exchange.kind === 'answered') availability.recordHeard(host, now);
    else availability.recordFailure(host, now);
  }
}

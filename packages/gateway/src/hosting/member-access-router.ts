import type { Clock, InstanceId } from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { MemberRegistry } from '../members/member-registry.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { Credentials, GrantChecker } from '../sessions/grants.js';
import type { HostDirectory } from './host-directory.js';
import {
  type AccessRefusal,
  type BeginRequest,
  type BeginResult,
  type ConnectionRequest,
  createRefusal,
  type MemberAccess,
  type RefusalReason,
  type StatementRequest,
  type StatementResult,
} from './member-access.js';
import { RemoteMemberAccess } from './remote-member-access.js';

/** Interval at which silent and unavailable hosts are looked for. */
const PING_CHECK_INTERVAL_MS = 50;
/** Maximum wait for the response to a ping; a round trip between regions takes 24 ms. */
const PING_TIMEOUT_MS = 250;

/** Refusals that say nothing about whether another instance would serve the request. */
const ELSEWHERE_REASONS: ReadonlySet<RefusalReason> = new Set([
  'unreachable',
  'too-large',
  'stale-key',
  'stale-primary',
]);

/**
 * Runs each statement at the host of its member: this instance or another one. A statement that a
 * host refused without sending it is tried at the next host at once.
 */
export class MemberAccessRouter implements MemberAccess {
  private readonly remotes = new Map<InstanceId, RemoteMemberAccess>();

  private pingTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly directory: HostDirectory,
    private readonly local: MemberAccess,
    private readonly memberRegistry: MemberRegistry,
    private readonly grantChecker: GrantChecker,
    private readonly metrics: GatewayMetrics,
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
    return this.callHost(request, async (access, remaining) => access.run(remaining));
  }

  async begin(request: BeginRequest): Promise<BeginResult> {
    return this.callHost(request, async (access, remaining) => access.begin(remaining));
  }

  private async callHost<
    Request extends ConnectionRequest,
    Result extends StatementResult | BeginResult,
  >(
    request: Request,
    call: (access: MemberAccess, request: Request) => Promise<Result>,
  ): Promise<Result | AccessRefusal> {
    const { member, credentials, timeoutMs } = request;
    const deadline = this.clock.now() + timeoutMs;
    let wasUnreachable: boolean | undefined;
    for (;;) {
      const entry = this.memberRegistry.findEntry(member);
      if (entry === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
      if (!this.directory.regions.mayReachMember(entry, request.allowedRegions)) {
        return createRefusal('closed', 'busy', 'the member is outside the allowed regions');
      }
      const remaining = { ...request, timeoutMs: deadline - this.clock.now(), wasUnreachable };
      const host = this.directory.findHost(entry, request.allowedRegions);
      if (host === this.self) return call(this.local, remaining);
      const result = await call(this.getRemote(host), remaining);
      if (result.kind !== 'refused' || !this.mayServeElsewhere(result, credentials)) return result;
      const { reason, text } = result;
      if (result.isReportedUnreachable === true) wasUnreachable = true;
      // Says nothing about the host, which goes on to serve others.
      if (reason === 'too-large') {
        return call(this.local, { ...remaining, timeoutMs: deadline - this.clock.now() });
      }
      const isNew = this.directory.recordUnservedMember(host, member);
      if (isNew) this.log.info('host.member.unserved', { host, member, reason, text });
    }
  }

  /**
   * Checks whether another instance may serve what a host refused: the host cannot reach the member,
   * or knows less of the store than this instance.
   */
  private mayServeElsewhere({ reason }: AccessRefusal, credentials: Credentials): boolean {
    if (reason === 'key') return this.grantChecker.findRefusal(credentials) === undefined;
    return ELSEWHERE_REASONS.has(reason);
  }

  private getRemote(host: InstanceId): RemoteMemberAccess {
    const known = this.remotes.get(host);
    if (known !== undefined) return known;
    const { hub, directory, memberRegistry, metrics, clock } = this;
    const remote = new RemoteMemberAccess(host, hub, directory, memberRegistry, metrics, clock);
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

import type { Clock, InstanceId, MemberId } from '@heatherledge/core';
import { delay, type PeerBodyOf, type PeerHub, type PeerLink } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { EventLog } from '../runtime/event-log.js';
import { decodeConnectionRequest, decodeStatement, encodeResult } from './host-messages.js';
import {
  createRefusal,
  type MemberAccess,
  type MemberTransaction,
  type StatementResult,
} from './member-access.js';

/**
 * Added to the idle timeout of transactions, which the instance with the caller's session enforces;
 * beyond it, that instance is taken to be gone.
 */
const IDLE_TIMEOUT_ALLOWANCE_MS = 2000;
/** Idle timeout of a transaction before settings are known. */
const DEFAULT_IDLE_TIMEOUT_MS = 3000;
const DRAIN_CHECK_INTERVAL_MS = 20;

const UNDECODABLE_STATEMENT = createRefusal('closed', 'busy', 'the host cannot read the statement');

type MemberResult = PeerBodyOf<'member.result'>;

/** A transaction that another instance runs here. */
interface HostedTransaction {
  readonly member: MemberId;
  readonly from: InstanceId;
  /** Undefined while the transaction begins. */
  transaction: MemberTransaction | undefined;
  isEnded: boolean;
  idleTimer: NodeJS.Timeout | undefined;
}

/**
 * Runs other instances' statements at the members that this instance hosts.
 *
 * A transaction belongs to the link on which it was begun: if the link closes, the other instance or
 * the way to it is gone, and the transaction is rolled back. A commit that is under way then ends at
 * the member either way, and the other instance reports its outcome as unknown.
 */
export class MemberHostServer {
  private readonly transactions = new Map<PeerLink, Map<number, HostedTransaction>>();

  private running = 0;

  constructor(
    hub: PeerHub,
    private readonly access: MemberAccess,
    private readonly memberRegistry: MemberRegistry,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    hub.handle('statement.run', async (body) => this.track(this.runStatement(body)));
    hub.handle('transaction.begin', async (body, from, link) =>
      this.track(this.begin(body, from, link)),
    );
    hub.handle('transaction.run', async (body, _, link) =>
      this.track(this.runInTransaction(body, link)),
    );
    hub.handle('transaction.end', ({ transaction }, _, link) => {
      this.end(link, transaction);
      return undefined;
    });
    hub.onLinkClosed((link) => this.endAll(link));
  }

  /** @returns number of statements and transactions of other instances that are under way */
  get pending(): number {
    let count = this.running;
    for (const ofLink of this.transactions.values()) count += ofLink.size;
    return count;
  }

  /**
   * Waits until the statements and transactions of other instances have ended.
   *
   * @param waitMs - maximum wait, in milliseconds
   */
  async drain(waitMs: number): Promise<void> {
    const deadline = this.clock.now() + waitMs;
    while (this.pending > 0 && this.clock.now() < deadline) await delay(DRAIN_CHECK_INTERVAL_MS);
    for (const link of [...this.transactions.keys()]) this.endAll(link);
  }

  private async track(result: Promise<MemberResult>): Promise<MemberResult> {
    this.running += 1;
    try {
      return await result;
    } finally {
      this.running -= 1;
    }
  }

  private async runStatement(body: PeerBodyOf<'statement.run'>): Promise<MemberResult> {
    const request = decodeConnectionRequest(body);
    const statement = decodeStatement(body);
    if (statement === undefined) return this.encode(UNDECODABLE_STATEMENT, request.member);
    const result = await this.access.run({ ...request, access: body.access, statement });
    const times = this.memberRegistry.findLoad(request.member)?.times;
    const statementMs = times?.findMeanMs(request.priority, this.clock.now());
    return { ...this.encode(result, request.member), statementMs };
  }

  private async begin(
    body: PeerBodyOf<'transaction.begin'>,
    from: InstanceId,
    link: PeerLink,
  ): Promise<MemberResult> {
    const request = decodeConnectionRequest(body);
    const { member } = request;
    const hosted: HostedTransaction = {
      member,
      from,
      transaction: undefined,
      isEnded: false,
      idleTimer: undefined,
    };
    const ofLink = this.transactions.get(link) ?? new Map<number, HostedTransaction>();
    this.transactions.set(link, ofLink.set(body.transaction, hosted));
    const result = await this.access.begin({ ...request, readOnly: body.readOnly });
    if (result.kind !== 'open') {
      this.end(link, body.transaction);
      return this.encode(result, member);
    }
    if (hosted.isEnded) result.transaction.end();
    else {
      hosted.transaction = result.transaction;
      this.startIdleTimer(hosted, link, body.transaction);
    }
    const reply = {
      rows: [],
      signature: undefined,
      error: undefined,
      state: 'open' as const,
      mark: undefined,
    };
    return this.encode({ kind: 'answered', reply, sentAt: this.clock.now() }, member);
  }

  private async runInTransaction(
    body: PeerBodyOf<'transaction.run'>,
    link: PeerLink,
  ): Promise<MemberResult> {
    const hosted = this.transactions.get(link)?.get(body.transaction);
    if (hosted?.transaction === undefined) {
      const result = { kind: 'lost' as const, reason: 'the transaction is over', wasSent: false };
      return encodeResult(result, 0);
    }
    const statement = decodeStatement(body);
    if (statement === undefined) return this.encode(UNDECODABLE_STATEMENT, hosted.member);
    clearTimeout(hosted.idleTimer);
    const result = await hosted.transaction.run(statement, new Map(body.values), body.timeoutMs);
    if (!hosted.isEnded) this.startIdleTimer(hosted, link, body.transaction);
    return this.encode(result, hosted.member);
  }

  private encode(result: StatementResult, member: MemberId): MemberResult {
    return encodeResult(result, this.memberRegistry.findSlotGate(member)?.pending ?? 0);
  }

  private startIdleTimer(hosted: HostedTransaction, link: PeerLink, transaction: number): void {
    const idleMs = this.view.settings?.transactionIdleMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    hosted.idleTimer = setTimeout(() => {
      const { member, from } = hosted;
      this.log.warn('host.transaction.idle', { member, from, transaction });
      this.end(link, transaction);
    }, idleMs + IDLE_TIMEOUT_ALLOWANCE_MS);
  }

  private end(link: PeerLink, transaction: number): void {
    const ofLink = this.transactions.get(link);
    const hosted = ofLink?.get(transaction);
    if (ofLink === undefined || hosted === undefined) return;
    ofLink.delete(transaction);
    if (ofLink.size === 0) this.transactions.delete(link);
    hosted.isEnded = true;
    clearTimeout(hosted.idleTimer);
    hosted.transaction?.end();
  }

  private endAll(link: PeerLink): void {
    for (const transaction of this.transactions.get(link)?.keys() ?? []) {
      this.end(link, transaction);
    }
  }
}

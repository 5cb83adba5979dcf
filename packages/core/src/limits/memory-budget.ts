/** Memory that one holder, such as a connection, uses of a shared budget. */
export interface BudgetAccount {
  /** Sets the bytes in use; may reclaim an account, which can be this one. */
  use(bytes: number): void;
  /**
   * Reserves bytes for work in progress, before its copies are allocated. Without room the account waits,
   * and is called back once, in the order of the requests.
   *
   * @param bytes - bytes to reserve
   * @param onAvailable - called when there may be room; the reservation is to be repeated then
   * @returns whether the bytes are reserved
   */
  reserve(bytes: number, onAvailable: () => void): boolean;
  /** Releases reserved bytes. */
  release(bytes: number): void;
  /**
   * Sets since when the rest of a message of the other side is outstanding, or it has not read what it was sent.
   *
   * @param since - in milliseconds of one clock for all accounts; undefined while nothing is outstanding
   */
  setOutstandingSince(since: number | undefined): void;
  /** Ends the account, and releases what it has reserved. */
  close(): void;
}

/** Limits of a part of a budget; without one the part is limited only by the whole. */
export interface BudgetLimits {
  /** Limit of all accounts of one group, such as a source address, in bytes. */
  readonly maxGroupBytes?: number;
  /** Limit of the bytes that are reserved for work in progress; one reservation is always possible. */
  readonly maxReservedBytes?: number;
}

interface Entry {
  bytes: number;
  reserved: number;
  outstandingSince: number | undefined;
  readonly group: string | undefined;
  readonly reclaim: () => void;
}

interface Waiter {
  readonly bytes: number;
  readonly onAvailable: () => void;
}

/** An account counts as larger by its size for each such time for which something of the other side is outstanding. */
const OUTSTANDING_UNIT_MS = 1000;
/** Time for which a reservation is kept that others wait for while the rest of the message is outstanding. */
const MAX_RESERVED_STALL_MS = 5000;

/**
 * Limits the memory of all holders together. Beyond the limit the holder of the most bytes, for the longest
 * time while something of the other side is outstanding, is asked to release them first, so that the others are served on. Shares of a budget
 * are limited on their own, and count towards the whole.
 */
export class MemoryBudget {
  private readonly usage = new Map<BudgetAccount, Entry>();

  private readonly groupBytes = new Map<string, number>();

  private readonly shares: MemoryBudget[] = [];

  /** Accounts that wait for room to reserve, in order. */
  private readonly waiters = new Map<BudgetAccount, Waiter>();

  /** Whether a waiter is being called back, which goes before those that have just arrived. */
  private isServingWaiter = false;

  private total = 0;

  private reserved = 0;

  private latest = 0;

  /**
   * @param maxBytes - limit of all accounts and shares together
   * @param limits - further limits of the accounts
   * @param whole - budget that this one is a share of
   */
  constructor(
    private readonly maxBytes: number,
    private readonly limits: BudgetLimits = {},
    private readonly whole?: MemoryBudget,
  ) {}

  /** @returns bytes in use, those of shares included */
  get usedBytes(): number {
    return this.total;
  }

  /** @returns bytes reserved for work in progress */
  get reservedBytes(): number {
    return this.reserved;
  }

  /**
   * Creates a share of this budget.
   *
   * @param maxBytes - limit of the share; the shares may add up to more than the whole
   * @param limits - further limits of its accounts
   */
  createShare(maxBytes: number, limits: BudgetLimits = {}): MemoryBudget {
    const share = new MemoryBudget(maxBytes, limits, this);
    this.shares.push(share);
    return share;
  }

  /**
   * Opens an account.
   *
   * @param reclaim - releases all that the holder has; the account is closed then
   * @param group - whose account it is, such as a source address; undefined for no group
   */
  open(reclaim: () => void, group?: string): BudgetAccount {
    const account: BudgetAccount = {
      use: (bytes) => this.use(account, bytes),
      reserve: (bytes, onAvailable) => this.reserve(account, bytes, onAvailable),
      release: (bytes) => this.release(account, bytes),
      setOutstandingSince: (since) => this.setOutstandingSince(account, since),
      close: () => this.close(account),
    };
    const entry: Entry = { bytes: 0, reserved: 0, outstandingSince: undefined, group, reclaim };
    this.usage.set(account, entry);
    return account;
  }

  /**
   * Reclaims the accounts that have kept a reservation for long without sending the rest, if others wait.
   * Called from time to time.
   *
   * @param now - time in milliseconds
   */
  reclaimStalled(now: number): void {
    this.latest = Math.max(this.latest, now);
    if (this.waiters.size === 0) return;
    for (const [account, { reserved, outstandingSince = now, reclaim }] of [...this.usage]) {
      if (reserved === 0 || now - outstandingSince < MAX_RESERVED_STALL_MS) continue;
      this.close(account);
      reclaim();
    }
  }

  private use(account: BudgetAccount, bytes: number): void {
    const entry = this.usage.get(account);
    if (entry === undefined) return;
    const change = bytes - entry.bytes;
    entry.bytes = bytes;
    this.charge(change, entry.group);
    if (change <= 0) return;
    const { maxGroupBytes = Infinity } = this.limits;
    const { group } = entry;
    if (group !== undefined) {
      while (this.getGroupBytes(group) > maxGroupBytes && this.reclaimLargest(group));
    }
    while (this.total > this.maxBytes && this.reclaimLargest());
    this.whole?.shrink();
  }

  private reserve(account: BudgetAccount, bytes: number, onAvailable: () => void): boolean {
    const entry = this.usage.get(account);
    if (entry === undefined) return false;
    const mustWait = this.waiters.size > 0 && !this.isServingWaiter;
    if (mustWait || !this.hasRoom(bytes)) {
      this.waiters.set(account, { bytes, onAvailable });
      return false;
    }
    this.waiters.delete(account);
    this.reserved += bytes;
    entry.reserved += bytes;
    return true;
  }

  private release(account: BudgetAccount, bytes: number): void {
    const entry = this.usage.get(account);
    if (entry === undefined || bytes === 0) return;
    entry.reserved -= bytes;
    this.releaseReserved(bytes);
  }

  private releaseReserved(bytes: number): void {
    this.reserved -= bytes;
    for (const [account, { bytes: wanted, onAvailable }] of this.waiters) {
      if (this.isServingWaiter || !this.hasRoom(wanted)) return;
      this.waiters.delete(account);
      this.isServingWaiter = true;
      onAvailable();
      this.isServingWaiter = false;
    }
  }

  /** One reservation is always possible, so that a message of any legal size is served. */
  private hasRoom(bytes: number): boolean {
    const { maxReservedBytes = Infinity } = this.limits;
    return this.reserved === 0 || this.reserved + bytes <= maxReservedBytes;
  }

  private setOutstandingSince(account: BudgetAccount, since: number | undefined): void {
    this.latest = Math.max(this.latest, since ?? 0);
    const entry = this.usage.get(account);
    if (entry !== undefined) entry.outstandingSince = since;
  }

  /** Reclaims from the share that uses the most of its limit until the whole is within its own. */
  private shrink(): void {
    while (this.total > this.maxBytes) {
      const computeRatio = (share: MemoryBudget): number => share.total / share.maxBytes;
      const [largest] = [...this.shares].sort((a, b) => computeRatio(b) - computeRatio(a));
      if (largest === undefined || !largest.reclaimLargest()) return;
    }
    this.whole?.shrink();
  }

  /** @returns whether an account was reclaimed */
  private reclaimLargest(group?: string): boolean {
    let largest: BudgetAccount | undefined;
    let most = -1;
    for (const [account, entry] of this.usage) {
      if (group !== undefined && entry.group !== group) continue;
      const outstandingMs = this.latest - (entry.outstandingSince ?? this.latest);
      const weight = entry.bytes * (1 + outstandingMs / OUTSTANDING_UNIT_MS);
      if (weight <= most) continue;
      most = weight;
      largest = account;
    }
    if (largest === undefined) return false;
    const reclaim = this.usage.get(largest)?.reclaim;
    this.close(largest);
    reclaim?.();
    return true;
  }

  private close(account: BudgetAccount): void {
    const entry = this.usage.get(account);
    if (entry === undefined) return;
    this.usage.delete(account);
    this.waiters.delete(account);
    this.charge(-entry.bytes, entry.group);
    if (entry.reserved > 0) this.releaseReserved(entry.reserved);
  }

  private charge(bytes: number, group: string | undefined): void {
    this.total += bytes;
    if (group !== undefined) {
      const sum = this.getGroupBytes(group) + bytes;
      if (sum === 0) this.groupBytes.delete(group);
      else this.groupBytes.set(group, sum);
    }
    this.whole?.charge(bytes, undefined);
  }

  private getGroupBytes(group: string): number {
    return this.groupBytes.get(group) ?? 0;
  }
}

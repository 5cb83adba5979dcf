/** Memory that one holder, such as a connection, uses of a shared budget. */
export interface BudgetAccount {
  /** Sets the bytes in use; may reclaim the largest account, which can be this one. */
  use(bytes: number): void;
  /** Ends the account. */
  close(): void;
}

/**
 * Limits the memory of all holders together. Beyond the limit the holder of the most bytes is asked to
 * release them first, so that the others are served on.
 */
export class MemoryBudget {
  private readonly usage = new Map<
    BudgetAccount,
    { bytes: number; readonly reclaim: () => void }
  >();

  private total = 0;

  /** @param maxBytes - limit of all accounts together */
  constructor(private readonly maxBytes: number) {}

  /** @returns bytes in use */
  get usedBytes(): number {
    return this.total;
  }

  /**
   * Opens an account.
   *
   * @param reclaim - releases all that the holder has; the account is closed then
   */
  open(reclaim: () => void): BudgetAccount {
    const account: BudgetAccount = {
      use: (bytes) => this.use(account, bytes),
      close: () => this.close(account),
    };
    this.usage.set(account, { bytes: 0, reclaim });
    return account;
  }

  private use(account: BudgetAccount, bytes: number): void {
    const entry = this.usage.get(account);
    if (entry === undefined) return;
    this.total += bytes - entry.bytes;
    entry.bytes = bytes;
    while (this.total > this.maxBytes) this.reclaimLargest();
  }

  private reclaimLargest(): void {
    let largest: BudgetAccount | undefined;
    let most = -1;
    for (const [account, { bytes }] of this.usage) {
      if (bytes <= most) continue;
      most = bytes;
      largest = account;
    }
    if (largest === undefined) return;
    const reclaim = this.usage.get(largest)?.reclaim;
    this.close(largest);
    reclaim?.();
  }

  private close(account: BudgetAccount): void {
    this.total -= this.usage.get(account)?.bytes ?? 0;
    this.usage.delete(account);
  }
}

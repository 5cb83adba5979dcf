import type { InstanceId, Milliseconds } from '../types/ids.js';

/** Limits by which a host is taken for unavailable. */
export interface HostAvailabilityTimings {
  /** Silence while a request is unanswered, after which the host is pinged. */
  readonly pingAfterMs: Milliseconds;
  /** Silence after which new requests go to the next host. */
  readonly silenceTimeoutMs: Milliseconds;
  /** Delay before an unavailable host is pinged again. */
  readonly retryDelayMs: Milliseconds;
  /** Time for which a host that is stopping gets no new requests. */
  readonly leavingTtlMs: Milliseconds;
}

interface HostState {
  /** When the oldest request without an answer was sent. */
  oldestSentAt: Milliseconds | undefined;
  unanswered: number;
  lastHeardAt: Milliseconds | undefined;
  isUnavailable: boolean;
  /** When the host may be pinged next. */
  nextPingAt: Milliseconds;
  leavingUntil: Milliseconds | undefined;
}

/**
 * Tracks which hosts answer.
 *
 * Load pattern: a host freezes, is cut off or stops while hundreds of instances send statements to
 * it. New statements go to the next host within a few hundred milliseconds. Statements under way
 * stay where they are: a host that was silent for a moment may still answer them, and a write that
 * was sent elsewhere as well could run twice.
 */
export class HostAvailability {
  private readonly states = new Map<InstanceId, HostState>();

  /** @param timings - limits by which a host is taken for unavailable */
  constructor(private readonly timings: HostAvailabilityTimings) {}

  /** @returns whether new requests may be sent to a host */
  isAvailable(host: InstanceId, now: Milliseconds): boolean {
    const state = this.states.get(host);
    if (state === undefined) return true;
    if (state.leavingUntil !== undefined && now < state.leavingUntil) return false;
    return (
      !state.isUnavailable && this.computeSilenceMs(state, now) < this.timings.silenceTimeoutMs
    );
  }

  /** Records that a request was sent to a host. */
  recordSent(host: InstanceId, now: Milliseconds): void {
    const state = this.getState(host);
    state.oldestSentAt ??= now;
    state.unanswered += 1;
  }

  /** Records that a request has ended; `isAnswered` is false if no answer arrived. */
  recordEnded(host: InstanceId, isAnswered: boolean, now: Milliseconds): void {
    if (isAnswered) this.recordHeard(host, now);
    else this.recordFailure(host, now);
    this.recordUnsent(host, now);
  }

  /** Records that a request was not sent after all, for a reason that says nothing about the host. */
  recordUnsent(host: InstanceId, now: Milliseconds): void {
    const state = this.getState(host);
    state.unanswered = Math.max(0, state.unanswered - 1);
    state.oldestSentAt = state.unanswered > 0 ? now : undefined;
  }

  /** Records a message of a host; it is available from now on, unless it is stopping. */
  recordHeard(host: InstanceId, now: Milliseconds): void {
    const state = this.getState(host);
    state.lastHeardAt = now;
    state.isUnavailable = false;
  }

  /** Records that a host did not answer, or that its link was refused or closed. */
  recordFailure(host: InstanceId, now: Milliseconds): void {
    const state = this.getState(host);
    if (!state.isUnavailable) state.nextPingAt = (now + this.timings.retryDelayMs) as Milliseconds;
    state.isUnavailable = true;
  }

  /** Records that a host has announced its stop. */
  recordLeaving(host: InstanceId, now: Milliseconds): void {
    this.getState(host).leavingUntil = (now + this.timings.leavingTtlMs) as Milliseconds;
  }

  /** Forgets the hosts that are no longer listed, so that they are not pinged any more. */
  removeUnlisted(isListed: (host: InstanceId) => boolean): void {
    for (const host of this.states.keys()) if (!isListed(host)) this.states.delete(host);
  }

  /**
   * Lists the hosts to ping now: silent ones, and unavailable ones whose retry is due.
   *
   * @param now - current time; the listed hosts are not listed again for a while
   */
  takeDuePings(now: Milliseconds): InstanceId[] {
    const due: InstanceId[] = [];
    for (const [host, state] of this.states) {
      const isSilent = this.computeSilenceMs(state, now) >= this.timings.pingAfterMs;
      if ((!isSilent && !state.isUnavailable) || now < state.nextPingAt) continue;
      const delayMs = state.isUnavailable ? this.timings.retryDelayMs : this.timings.pingAfterMs;
      state.nextPingAt = (now + delayMs) as Milliseconds;
      due.push(host);
    }
    return due;
  }

  private computeSilenceMs(state: HostState, now: Milliseconds): number {
    if (state.oldestSentAt === undefined) return 0;
    return now - Math.max(state.oldestSentAt, state.lastHeardAt ?? 0);
  }

  private getState(host: InstanceId): HostState {
    const known = this.states.get(host);
    if (known !== undefined) return known;
    const state: HostState = {
      oldestSentAt: undefined,
      unanswered: 0,
      lastHeardAt: undefined,
      isUnavailable: false,
      nextPingAt: 0 as Milliseconds,
      leavingUntil: undefined,
    };
    this.states.set(host, state);
    return state;
  }
}

import type { Milliseconds, OrganisationId } from '../types/ids.js';
import type { QueueTicket } from './fair-queue.js';
import {
  computeAverage,
  computeLastTag,
  type FairQueueRequest,
  isDueBefore,
  type OrganisationState,
  type WaitingRequest,
} from './organisation-requests.js';

/** Slot time charged to an organisation for a statement that runs. */
export interface SlotCharge {
  readonly organisation: OrganisationId;
  readonly costMs: number;
}

/** Slot time assumed before any was measured, about that of an ordinary statement. */
export const DEFAULT_COST_MS = 10;
/** Organisations whose averages and charges are remembered; fleets have up to 140. */
const MAX_ORGANISATIONS = 256;

/**
 * Start-time fair queue over slot time: organisations with waiting requests get the member's slots in
 * proportion to their weights, and within an organisation the earliest deadline runs first.
 *
 * Load pattern: two organisations send as many statements, but those of one take 270 ms instead of 9.
 * Shares by number of statements give it 30 times the slot time of the other. The time is charged by a
 * moving average when a statement starts, and corrected by the measured time when it ends.
 */
export class SlotTimeFairQueue {
  /** Least recently used first, so that the first idle one can be forgotten. */
  private readonly states = new Map<OrganisationId, OrganisationState>();

  private readonly active = new Set<OrganisationState>();

  /** Tag of the request that started last. */
  private virtualTime = 0;

  private count = 0;

  private workMs = 0;

  private nextTicket = 1;

  private averageMs: number | undefined;

  /** @returns number of waiting requests */
  get size(): number {
    return this.count;
  }

  /** @returns mean slot time of the statements, in milliseconds, or undefined before the first */
  get meanMs(): number | undefined {
    return this.averageMs;
  }

  /**
   * @param organisation - organisation of a statement
   * @returns slot time that it is expected to use, in milliseconds, or undefined before one has ended
   */
  estimateMeasuredCost(organisation: OrganisationId): number | undefined {
    return this.states.get(organisation)?.averageMs ?? this.averageMs;
  }

  /**
   * @param request - a new request
   * @returns slot time of the waiting requests that are due before it, in milliseconds
   */
  estimateWorkBefore({ organisation, weight, deadline }: FairQueueRequest): number {
    const own = this.states.get(organisation);
    let workMs = 0;
    for (const other of own?.waiting ?? []) {
      if (other.deadline <= deadline) workMs += other.costMs;
    }
    const dueTag = Math.max(this.virtualTime, own?.tag ?? 0) + workMs / weight;
    for (const state of this.active) {
      if (state === own) continue;
      let { tag } = state;
      if (tag > dueTag) continue;
      if (tag + state.workMs / state.weight <= dueTag) {
        workMs += state.workMs;
        continue;
      }
      for (const { costMs } of state.waiting) {
        if (tag > dueTag) break;
        workMs += costMs;
        tag += costMs / state.weight;
      }
    }
    return workMs;
  }

  /** @returns slot time of all waiting requests, in milliseconds */
  get work(): number {
    return this.workMs;
  }

  /** Adds a request. */
  push(request: FairQueueRequest): WaitingRequest {
    const { organisation, weight, deadline, isInTransaction } = request;
    const state = this.getState(organisation);
    const measuredMs = this.estimateMeasuredCost(organisation);
    const allowanceMs = isInTransaction ? 0 : (measuredMs ?? 0);
    const waiting: WaitingRequest = {
      ...request,
      ticket: this.nextTicket,
      costMs: measuredMs ?? DEFAULT_COST_MS,
      latestStart: (deadline - allowanceMs) as Milliseconds,
    };
    this.nextTicket += 1;
    state.weight = weight;
    if (state.waiting.length === 0) state.tag = Math.max(this.virtualTime, state.tag);
    let index = state.waiting.length;
    while (index > 0 && (state.waiting[index - 1] as WaitingRequest).deadline > deadline) {
      index -= 1;
    }
    state.waiting.splice(index, 0, waiting);
    this.active.add(state);
    this.count += 1;
    this.workMs += waiting.costMs;
    state.workMs += waiting.costMs;
    return waiting;
  }

  /**
   * Removes the request that is due first, and charges it.
   *
   * @returns the request, or undefined if none waits
   */
  shift(): WaitingRequest | undefined {
    const first = this.findFirstState();
    const next = first?.waiting[0];
    if (first === undefined || next === undefined) return undefined;
    this.removeAt(first, 0);
    this.virtualTime = Math.max(this.virtualTime, first.tag);
    first.tag += next.costMs / first.weight;
    return next;
  }

  /**
   * Charges a statement that starts without having waited.
   *
   * @returns the charge, for the correction when it ends
   */
  charge(organisation: OrganisationId, weight: number): SlotCharge {
    const state = this.getState(organisation);
    const costMs = this.estimateMeasuredCost(organisation) ?? DEFAULT_COST_MS;
    state.weight = weight;
    state.tag = Math.max(this.virtualTime, state.tag);
    this.virtualTime = state.tag;
    state.tag += costMs / weight;
    return { organisation, costMs };
  }

  /**
   * Corrects the charge of a statement that ended.
   *
   * @param charge - its charge
   * @param usedMs - measured slot time, in milliseconds
   * @param isRepresentative - whether the time tells of statements to come; not if no reply arrived
   */
  recordEnd({ organisation, costMs }: SlotCharge, usedMs: number, isRepresentative: boolean): void {
    const state = this.states.get(organisation);
    if (state !== undefined) state.tag += (usedMs - costMs) / state.weight;
    if (!isRepresentative) return;
    if (state !== undefined) state.averageMs = computeAverage(state.averageMs, usedMs);
    this.averageMs = computeAverage(this.averageMs, usedMs);
  }

  /**
   * Removes the requests that can no longer meet their deadlines, because those of their own
   * organisation and those of more urgent classes take the slots for too long, and the requests of open
   * transactions whose deadlines have passed.
   *
   * @param now - current time
   * @param urgentMs - slot time of the waiting requests of more urgent classes, in milliseconds
   * @param concurrency - statements that run at the same time
   * @returns the removed requests
   */
  removeUnservable(now: Milliseconds, urgentMs: number, concurrency: number): WaitingRequest[] {
    const removed: WaitingRequest[] = [];
    for (const state of this.active) {
      const hasMeasured = (state.averageMs ?? this.averageMs) !== undefined;
      let aheadMs = urgentMs;
      for (let index = 0; index < state.waiting.length; index += 1) {
        const request = state.waiting[index] as WaitingRequest;
        // The work of an open transaction would be lost, so its statements wait until their deadlines.
        const isEstimated = hasMeasured && !request.isInTransaction;
        const start = now + (isEstimated ? aheadMs / concurrency : 0);
        if (start <= request.latestStart) {
          aheadMs += request.costMs;
          continue;
        }
        removed.push(request);
        this.removeAt(state, index);
        index -= 1;
      }
    }
    return removed;
  }

  /** @returns the request that has waited least and may be displaced, or undefined */
  findNewest(): WaitingRequest | undefined {
    let newest: WaitingRequest | undefined;
    for (const { waiting } of this.active) {
      for (const request of waiting) {
        const isNewer = request.ticket > (newest?.ticket ?? 0);
        if (isNewer && !request.isInTransaction) newest = request;
      }
    }
    return newest;
  }

  /**
   * @param request - a new request
   * @returns the newest request of the organisation that is due last, if that is after the new one
   */
  findDueAfter({ organisation, weight }: FairQueueRequest): WaitingRequest | undefined {
    const own = this.states.get(organisation);
    let lastTag = Math.max(this.virtualTime, own?.tag ?? 0) + (own?.workMs ?? 0) / weight;
    let last: OrganisationState | undefined;
    for (const state of this.active) {
      const tag = state.tag + state.workMs / state.weight - computeLastTag(state);
      if (state === own || tag <= lastTag) continue;
      lastTag = tag;
      last = state;
    }
    let newest: WaitingRequest | undefined;
    for (const request of last?.waiting ?? []) {
      if (request.ticket > (newest?.ticket ?? 0) && !request.isInTransaction) newest = request;
    }
    return newest;
  }

  /** @returns the removed request, or undefined if it no longer waits */
  remove(ticket: QueueTicket): WaitingRequest | undefined {
    for (const state of this.active) {
      const index = state.waiting.findIndex((request) => request.ticket === ticket);
      if (index >= 0) return this.removeAt(state, index);
    }
    return undefined;
  }

  /** @returns the request that is due first, or undefined if none waits */
  findFirst(): WaitingRequest | undefined {
    return this.findFirstState()?.waiting[0];
  }

  private findFirstState(): OrganisationState | undefined {
    let first: OrganisationState | undefined;
    for (const state of this.active) {
      if (first === undefined || isDueBefore(state, first)) first = state;
    }
    return first;
  }

  private removeAt(state: OrganisationState, index: number): WaitingRequest | undefined {
    const [removed] = state.waiting.splice(index, 1);
    if (removed !== undefined) {
      this.count -= 1;
      // Starting again at 0 keeps rounding errors from adding up.
      this.workMs = this.count === 0 ? 0 : this.workMs - removed.costMs;
      state.workMs = state.waiting.length === 0 ? 0 : state.workMs - removed.costMs;
    }
    if (state.waiting.length === 0) this.active.delete(state);
    return removed;
  }

  private getState(organisation: OrganisationId): OrganisationState {
    const known = this.states.get(organisation);
    const state = known ?? { waiting: [], workMs: 0, weight: 1, tag: 0, averageMs: undefined };
    if (known !== undefined) this.states.delete(organisation);
    else if (this.states.size >= MAX_ORGANISATIONS) this.removeOldestIdle();
    this.states.set(organisation, state);
    return state;
  }

  private removeOldestIdle(): void {
    for (const [organisation, { waiting }] of this.states) {
      if (waiting.length > 0) continue;
      this.states.delete(organisation);
      return;
    }
  }
}

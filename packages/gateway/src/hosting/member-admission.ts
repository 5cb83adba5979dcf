import type { Clock, OrganisationId } from '@heatherledge/core';
import type { AccessRefusal, ConnectionRequest } from './member-access.js';
import type { GrantedSlot, SlotGate } from './slot-gate.js';
import {
  createOverloadRefusal,
  type OverloadRejection,
  type SlotObserver,
} from './slot-rejections.js';

/**
 * Finds the part of an organisation relative to others, by which they share an overloaded member;
 * undefined stands for callers without a valid key.
 */
export type WeightLookup = (organisation: OrganisationId | undefined) => number;

/** Admits requests to members through their gates, and tells the observer of each decision. */
export class MemberAdmission {
  constructor(
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly findWeight: WeightLookup,
    private readonly observer: SlotObserver,
  ) {}

  /**
   * Waits for a slot, which the caller must release if it is granted.
   *
   * @param gate - gate of the member
   * @param request - the request
   * @returns the slot, or the refusal of the request
   */
  async acquireSlot(
    gate: SlotGate,
    request: ConnectionRequest,
  ): Promise<GrantedSlot | AccessRefusal> {
    const { credentials, priority, maxEstimatedWaitMs, timeoutMs: waitMs } = request;
    const { organisation } = credentials;
    const startedAt = this.clock.now();
    const result = await gate.acquire({
      organisation,
      weight: this.findWeight(organisation),
      priority,
      maxEstimatedWaitMs,
      waitMs,
    });
    if (result.kind !== 'granted') return this.refuse(request, result);
    this.observer.onAdmitted(priority, this.clock.now() - startedAt);
    return result;
  }

  /** Creates the refusal of a request that was rejected for overload. */
  refuse({ member, priority }: ConnectionRequest, rejection: OverloadRejection): AccessRefusal {
    this.observer.onRejected(member, priority, rejection);
    return createOverloadRefusal(rejection, this.random);
  }
}

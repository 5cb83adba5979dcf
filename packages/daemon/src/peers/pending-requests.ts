import type { InstanceId } from '@heatherledge/core';
import type { PeerBody } from './peer-messages.js';

/** How a request to another instance ended. */
export type PeerExchange =
  | { readonly kind: 'answered'; readonly body: PeerBody }
  | {
      readonly kind: 'lost';
      /** False only if the request is certain not to have been handled. */
      readonly wasSent: boolean;
      /** Whether it was not sent for its size alone; the instance may accept other requests. */
      readonly isTooLarge?: boolean;
    };

interface PendingRequest {
  readonly to: InstanceId;
  readonly resolve: (exchange: PeerExchange) => void;
  readonly timer: NodeJS.Timeout;
  wasSent: boolean;
}

/** The requests to other instances that wait for their responses. */
export class PendingRequests {
  private readonly requests = new Map<number, PendingRequest>();

  private nextId = 1;

  /**
   * Adds a request.
   *
   * @param to - receiving instance
   * @param timeoutMs - maximum wait for the response, in milliseconds
   * @param onTimeout - called with the request's number if no response arrives in time
   * @returns the request's number, and how it ends
   */
  add(
    to: InstanceId,
    timeoutMs: number,
    onTimeout: (id: number) => void,
  ): { readonly id: number; readonly exchange: Promise<PeerExchange> } {
    const id = this.nextId;
    this.nextId += 1;
    const exchange = new Promise<PeerExchange>((resolve) => {
      const timer = setTimeout(() => onTimeout(id), timeoutMs);
      this.requests.set(id, { to, resolve, timer, wasSent: false });
    });
    return { id, exchange };
  }

  /** Records that a request has been handed to its link. */
  markSent(id: number): void {
    const request = this.requests.get(id);
    if (request !== undefined) request.wasSent = true;
  }

  /** Ends a request with its response. */
  answer(id: number, body: PeerBody): void {
    this.take(id)?.resolve({ kind: 'answered', body });
  }

  /** Ends a request without a response. */
  lose(id: number): void {
    const request = this.take(id);
    request?.resolve({ kind: 'lost', wasSent: request.wasSent });
  }

  /** Ends a request that was not sent, or not as a whole, since it is too large. */
  refuse(id: number): void {
    this.take(id)?.resolve({ kind: 'lost', wasSent: false, isTooLarge: true });
  }

  /** Ends all requests to an instance, or to all instances, without a response. */
  loseAll(to?: InstanceId): void {
    for (const [id, request] of this.requests) {
      if (to === undefined || request.to === to) this.lose(id);
    }
  }

  private take(id: number): PendingRequest | undefined {
    const request = this.requests.get(id);
    if (request === undefined) return undefined;
    this.requests.delete(id);
    clearTimeout(request.timer);
    return request;
  }
}

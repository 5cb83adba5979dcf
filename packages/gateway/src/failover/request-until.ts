import type { Clock, InstanceId, Milliseconds } from '@heatherledge/core';
import { delay, type PeerBody, type PeerBodyOf, type PeerHub } from '@heatherledge/daemon';

/** Maximum wait for one response; far longer than a round trip between regions, which takes 24 ms. */
const PEER_RESPONSE_TIMEOUT_MS = 300;
/** Delay before an instance that has not responded is asked again; doubles with each further one. */
const MIN_RETRY_DELAY_MS = 50;
/** A process that was killed is started again within a second; its successor is noticed this much later. */
const MAX_RETRY_DELAY_MS = 400;

/**
 * Repeats a request until the instance responds. A connection that is refused ends nothing: the process
 * may run behind a partition. One that was killed is started again at the same address, and its successor
 * responds.
 *
 * @param hub - links to the other instances
 * @param clock - source of time
 * @param id - instance to ask
 * @param body - request, which may be carried out more than once
 * @param kind - kind of the response to wait for
 * @param until - time at which to give up
 * @returns the response, or undefined if there was none in time
 */
export async function requestUntil<Kind extends PeerBody['kind']>(
  hub: Pick<PeerHub, 'request'>,
  clock: Clock,
  id: InstanceId,
  body: PeerBody,
  kind: Kind,
  until: Milliseconds,
): Promise<PeerBodyOf<Kind> | undefined> {
  for (let delayMs = MIN_RETRY_DELAY_MS; ; delayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs)) {
    const remainingMs = until - clock.now();
    if (remainingMs <= 0) return undefined;
    const timeoutMs = Math.min(PEER_RESPONSE_TIMEOUT_MS, remainingMs);
    const response = await hub.request(id, body, timeoutMs);
    if (response?.kind === kind) return response as PeerBodyOf<Kind>;
    await delay(Math.min(delayMs, Math.max(0, until - clock.now())));
  }
}

import {
  type Clock,
  type GroupId,
  type InstanceId,
  type LogPosition,
  type MemberId,
  type Milliseconds,
  type Term,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerBodyOf } from '@heatherledge/daemon';
import type { SuspensionAware } from '../runtime/suspension-aware-clock.js';
import type { PrimaryLogSample } from './primary-tracker.js';

/** Older samples are not sent: they would be of little use on arrival. */
const MAX_SHARED_SAMPLE_AGE_MS = 2000;

/** Source and destination of samples. */
export interface LogSampleStore {
  listSamples(): PrimaryLogSample[];
  addSample(sample: PrimaryLogSample): void;
}

type SharedSample = NonNullable<PeerBodyOf<'store.checked'>['samples']>[number];
type ClockToken = NonNullable<PeerBodyOf<'store.checked'>['token']>;

interface ReceivedToken {
  readonly token: ClockToken;
  readonly receivedAt: Milliseconds;
  readonly suspendedMs: number;
}

/**
 * Exchanges samples of primaries' logs with other instances, whose clocks started at other times. A
 * sample may look older than it is after the exchange, but never newer.
 *
 * Samples in a response carry their age, which the requesting instance subtracts from the time at
 * which it sent the request. Samples in a request carry the time from the arrival of a clock token,
 * received with an earlier response, until the sample was taken; the instance that issued the token
 * adds it to the time in the token. In both cases the transit time of the messages only makes
 * samples look older.
 */
export class SampleExchange {
  /** Newest clock token of each instance that has responded. */
  private readonly tokens = new Map<InstanceId, ReceivedToken>();

  /** Distinguishes this run of the process from others, whose clocks started at other times. */
  private readonly incarnation: string;

  constructor(
    private readonly store: LogSampleStore,
    private readonly clock: Clock & SuspensionAware,
    random: () => number,
  ) {
    this.incarnation = random().toString(36);
  }

  /** @returns the token and samples to send with a request to another instance */
  createRequestFields(to: InstanceId): Pick<PeerBodyOf<'store.check'>, 'token' | 'samples'> {
    const received = this.tokens.get(to);
    // A step of the time of day since the token arrived, counted as a suspension, would make samples
    // look newer.
    if (received === undefined || received.suspendedMs !== this.clock.suspendedMs) return {};
    const { token, receivedAt } = received;
    return { token, samples: this.listSharedSamples((takenAt) => takenAt - receivedAt) };
  }

  /**
   * Adds the samples of a request.
   *
   * @param request - request of another instance
   * @returns the token and samples to send with the response
   */
  handleRequest({
    token,
    samples = [],
  }: PeerBodyOf<'store.check'>): Pick<PeerBodyOf<'store.checked'>, 'token' | 'samples'> {
    const now = this.clock.now();
    if (token?.life === this.incarnation) this.addSamples(samples, (ms) => token.at + ms);
    return {
      token: { life: this.incarnation, at: now },
      samples: this.listSharedSamples((takenAt) => now - takenAt),
    };
  }

  /**
   * Stores the token and adds the samples of a response.
   *
   * @param from - the instance that responded
   * @param response - the response
   * @param sentAt - when the request was sent
   */
  handleResponse(
    from: InstanceId,
    response: PeerBodyOf<'store.checked'>,
    sentAt: Milliseconds,
  ): void {
    const { token, samples = [] } = response;
    if (token !== undefined) {
      const { suspendedMs } = this.clock;
      this.tokens.set(from, { token, receivedAt: this.clock.now(), suspendedMs });
    }
    this.addSamples(samples, (ms) => sentAt - ms);
  }

  private listSharedSamples(toRelativeMs: (takenAt: Milliseconds) => number): SharedSample[] {
    const oldest = this.clock.now() - MAX_SHARED_SAMPLE_AGE_MS;
    return this.store
      .listSamples()
      .filter(({ takenAt }) => takenAt >= oldest)
      .map(({ group, member, logPosition, takenAt }) => ({
        group,
        member,
        term: logPosition.term,
        position: logPosition.position,
        ms: toRelativeMs(takenAt),
      }));
  }

  private addSamples(samples: readonly SharedSample[], toTakenAt: (ms: number) => number): void {
    for (const { group, member, term, position, ms } of samples) {
      this.store.addSample({
        group: toBrand<GroupId>(group),
        member: toBrand<MemberId>(member),
        logPosition: { term: toBrand<Term>(term), position: toBrand<LogPosition>(position) },
        takenAt: toMilliseconds(toTakenAt(ms)),
      });
    }
  }
}

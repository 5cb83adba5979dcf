import {
  type GroupId,
  type InstanceId,
  type LogPosition,
  ManualClock,
  type MemberId,
  type Term,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerBodyOf } from '@heatherledge/daemon';
import { describe, expect, it } from 'vitest';
import { type PrimaryLogSample, SampleExchange } from '../../src/index.js';

const RELAY = toBrand<InstanceId>('relay');
const CHECK: PeerBodyOf<'store.check'> = { kind: 'store.check', expectations: [] };

class SteppedClock extends ManualClock {
  suspendedMs = 0;

  /** Steps the time of day, which the clock counts as a suspension. */
  step(ms: number): void {
    this.suspendedMs += ms;
    this.advance(ms);
  }
}

class FakeInstance {
  readonly addedSamples: PrimaryLogSample[] = [];

  samples: PrimaryLogSample[] = [];

  readonly exchange: SampleExchange;

  constructor(
    readonly clock: SteppedClock,
    incarnation: number,
  ) {
    const store = {
      listSamples: () => this.samples,
      addSample: (sample: PrimaryLogSample) => this.addedSamples.push(sample),
    };
    this.exchange = new SampleExchange(store, clock, () => incarnation);
  }

  /** Sets a sample of a primary whose log holds `position` now. */
  setSample(position: number): void {
    this.samples = [
      {
        group: toBrand<GroupId>('g'),
        member: toBrand<MemberId>('m'),
        logPosition: { term: toBrand<Term>(1), position: toBrand<LogPosition>(position) },
        takenAt: this.clock.now(),
      },
    ];
  }
}

describe('SampleExchange', () => {
  /** The clocks started at different times; the subscriber's is ahead of the relay's by this. */
  const CLOCK_OFFSET_MS = 5000;

  function createInstances(): {
    subscriber: FakeInstance;
    relay: FakeInstance;
    advance: (ms: number) => void;
  } {
    const subscriber = new FakeInstance(new SteppedClock(1000 + CLOCK_OFFSET_MS), 0.1);
    const relay = new FakeInstance(new SteppedClock(1000), 0.2);
    const advance = (ms: number): void => {
      subscriber.clock.advance(ms);
      relay.clock.advance(ms);
    };
    return { subscriber, relay, advance };
  }

  function respond(
    relay: FakeInstance,
    request: PeerBodyOf<'store.check'>,
  ): PeerBodyOf<'store.checked'> {
    return { kind: 'store.checked', outcome: 'held', ...relay.exchange.handleRequest(request) };
  }

  it('dates samples in a response back from the time at which the request was sent', () => {
    const { subscriber, relay, advance } = createInstances();
    relay.setSample(7);
    const takenAt = relay.clock.now() + CLOCK_OFFSET_MS;
    advance(100);
    const sentAt = subscriber.clock.now();
    advance(50);
    const response = respond(relay, CHECK);
    advance(50);
    subscriber.exchange.handleResponse(RELAY, response, sentAt);
    const [sample] = subscriber.addedSamples;
    expect(sample?.takenAt).toBeLessThanOrEqual(takenAt);
    expect(sample?.takenAt).toBeGreaterThanOrEqual(takenAt - 100);
    expect(sample?.logPosition.position).toBe(7);
  });

  it('dates samples in a request from the clock token, whatever the transit time', () => {
    const { subscriber, relay, advance } = createInstances();
    const first = respond(relay, CHECK);
    advance(30);
    subscriber.exchange.handleResponse(RELAY, first, toMilliseconds(subscriber.clock.now() - 60));
    advance(200);
    subscriber.setSample(9);
    const takenAt = subscriber.clock.now() - CLOCK_OFFSET_MS;
    const request = { ...CHECK, ...subscriber.exchange.createRequestFields(RELAY) };
    advance(1500);
    respond(relay, request);
    const [sample] = relay.addedSamples;
    expect(sample?.takenAt).toBeLessThanOrEqual(takenAt);
    expect(sample?.takenAt).toBeGreaterThanOrEqual(takenAt - 30);
  });

  it('sends no samples that a step of the time of day would make look newer', () => {
    const { subscriber, relay, advance } = createInstances();
    subscriber.exchange.handleResponse(RELAY, respond(relay, CHECK), subscriber.clock.now());
    advance(100);
    subscriber.clock.step(5000);
    subscriber.setSample(9);
    respond(relay, { ...CHECK, ...subscriber.exchange.createRequestFields(RELAY) });
    expect(relay.addedSamples).toEqual([]);
  });

  it('ignores samples that are dated by the clock of another incarnation', () => {
    const { subscriber, relay, advance } = createInstances();
    subscriber.exchange.handleResponse(RELAY, respond(relay, CHECK), subscriber.clock.now());
    advance(100);
    subscriber.setSample(9);
    const restarted = new FakeInstance(new SteppedClock(0), 0.3);
    respond(restarted, { ...CHECK, ...subscriber.exchange.createRequestFields(RELAY) });
    expect(restarted.addedSamples).toEqual([]);
  });

  it('does not share samples older than two seconds', () => {
    const { subscriber, relay, advance } = createInstances();
    relay.setSample(7);
    advance(2001);
    subscriber.exchange.handleResponse(RELAY, respond(relay, CHECK), subscriber.clock.now());
    expect(subscriber.addedSamples).toEqual([]);
  });
});

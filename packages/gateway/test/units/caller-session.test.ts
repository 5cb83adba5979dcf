import {
  ManualClock,
  type MemberId,
  type ReadMemberState,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { describe, expect, it, vi } from 'vitest';
import {
  type CallerChannel,
  CallerSession,
  type CallerSessionServices,
  EventLog,
  type StatementRequest,
  type StatementResult,
} from '../../src/index.js';

function createChannel(): CallerChannel {
  return {
    hasWaitingMessages: false,
    setStateBytes: vi.fn(),
    sendStarted: vi.fn(),
    sendReply: vi.fn(),
    sendFinalError: vi.fn(),
    close: vi.fn(),
  };
}

/** A member that leads and is always preferred to one with a higher `pending`. */
function createReader(id: string, pending: number): ReadMemberState {
  return {
    id: toBrand<MemberId>(id),
    isPrimary: true,
    isDraining: false,
    distance: 0,
    pending,
    avoidUntil: toMilliseconds(0),
    reportedPosition: undefined,
    laggingUntil: toMilliseconds(0),
    failureRatio: 0,
  };
}

describe('CallerSession', () => {
  /** Guards against an unexpected error in one session that ends the process with all others. */
  it('closes itself alone when handling a message fails unexpectedly', async () => {
    const channel = createChannel();
    const clock = new ManualClock(1000);
    const onEnd = vi.fn();
    const services = {
      clock,
      log: new EventLog(clock),
      onEnd,
      view: {
        waitForSettings: async () => {
          throw new Error('unexpected');
        },
      },
    } as unknown as CallerSessionServices;
    const session = new CallerSession(channel, services);
    session.onMessage({ kind: 'start', database: 'd', key: 'k' });
    await vi.waitFor(() => expect(onEnd).toHaveBeenCalledWith(session));
    expect(channel.close).toHaveBeenCalledOnce();
    expect(channel.sendStarted).not.toHaveBeenCalled();
  });

  /** Guards against PINNED: a read that waits at one member while another serves it, and a SET follows. */
  it('keeps the values of a read that still waits when the session sets others', async () => {
    const channel = createChannel();
    const clock = new ManualClock(1000);
    const requests: StatementRequest[] = [];
    const run = async (request: StatementRequest): Promise<StatementResult> => {
      requests.push(request);
      if (requests.length === 1) return new Promise(() => {});
      const reply = { rows: [], signature: 's', error: undefined, state: 'idle', mark: undefined };
      return { kind: 'answered', reply, sentAt: clock.now() } as StatementResult;
    };
    const route = {
      name: 'r',
      database: 'd',
      group: 'g',
      consistency: 'latest',
      statementTimeoutMs: 5000,
      targetLatencyMs: 400,
      maxAgeMs: 0,
      priority: 1,
      isPublic: true,
    };
    const services = {
      clock,
      log: new EventLog(clock),
      onEnd: vi.fn(),
      random: () => 0,
      view: {
        waitForSettings: async () => {},
        settings: { routesByDatabase: new Map([['d', route]]), organisationByKey: new Map() },
      },
      grantChecker: { findRefusal: () => undefined },
      memberAccess: { run },
      metrics: { statements: { inc() {} }, latencySeconds: { observe() {} } },
      memberRegistry: {
        connector: { mayWaitForPosition: () => true },
        primaryTracker: { findPositionForAge: () => undefined },
        listReaders: () => [createReader('m1', 0), createReader('m2', 1)],
        recordOutcome() {},
        confirmation: { resolveAge: () => 0, mayServeKeyedRequests: () => true },
      },
    } as unknown as CallerSessionServices;
    const session = new CallerSession(channel, services);
    const read = { kind: 'data', access: 'read', text: 'READ i1' } as const;
    const set = { kind: 'set', name: 'place', value: '5' } as const;
    session.onMessage({ kind: 'start', database: 'd', key: undefined });
    session.onMessage({ kind: 'query', requestId: 'q1', statement: read });
    session.onMessage({ kind: 'query', requestId: 'q2', statement: set });
    await vi.waitFor(() => expect(channel.sendReply).toHaveBeenCalledTimes(2));
    expect(requests.map(({ member, values }) => [member, [...values]])).toEqual([
      ['m1', []],
      ['m2', []],
    ]);
  });
});

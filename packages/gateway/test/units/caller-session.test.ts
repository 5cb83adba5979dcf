import { ManualClock } from '@heatherledge/core';
import { describe, expect, it, vi } from 'vitest';
import {
  type CallerChannel,
  CallerSession,
  type CallerSessionServices,
  EventLog,
} from '../../src/index.js';

describe('CallerSession', () => {
  /** Guards against an unexpected error in one session that ends the process with all others. */
  it('closes itself alone when handling a message fails unexpectedly', async () => {
    const channel: CallerChannel = {
      hasWaitingMessages: false,
      sendStarted: vi.fn(),
      sendReply: vi.fn(),
      sendFinalError: vi.fn(),
      close: vi.fn(),
    };
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
});

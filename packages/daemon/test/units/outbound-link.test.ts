import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { OutboundLink, type PeerLink } from '../../src/index.js';

const ENVELOPE = { ask: 1, body: { kind: 'peer.ping' as const } };

describe('OutboundLink', () => {
  let sent: unknown[];
  let unsupported: unknown[];
  let peerLink: { isReady: boolean; features: string[]; send: (envelope: unknown) => void };
  let link: OutboundLink;

  beforeEach(() => {
    vi.useFakeTimers({ toFake: ['performance'] });
    sent = [];
    unsupported = [];
    peerLink = { isReady: true, features: ['a'], send: (envelope) => sent.push(envelope) };
    const listener = {
      onSent() {},
      onUnsupported: (envelope: unknown) => unsupported.push(envelope),
    };
    link = new OutboundLink(peerLink as unknown as PeerLink, listener);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /**
   * Guards against ending the work of an instance that is only silent for a moment: replacing the link
   * ends all requests on it, and the instance rolls back the transactions that were begun there.
   */
  describe('while the other instance is silent', () => {
    it('is kept for a second, although requests are not answered', () => {
      expect([1, 2, 3].map(() => link.recordUnanswered())).toEqual([false, false, false]);
      vi.advanceTimersByTime(999);
      expect(link.recordUnanswered()).toBe(false);
    });

    it('is replaced after a second without any message', () => {
      link.recordUnanswered();
      vi.advanceTimersByTime(1000);
      expect(link.recordUnanswered()).toBe(true);
    });

    it('is kept if a message arrives meanwhile', () => {
      link.recordUnanswered();
      vi.advanceTimersByTime(900);
      link.recordHeard();
      vi.advanceTimersByTime(900);
      expect(link.recordUnanswered()).toBe(false);
    });
  });

  describe('before its handshake', () => {
    beforeEach(() => {
      peerLink.isReady = false;
    });

    it('keeps messages, and sends them once it is open', () => {
      link.post({ envelope: ENVELOPE, feature: undefined });
      expect(sent).toEqual([]);
      peerLink.isReady = true;
      link.flush();
      expect(sent).toEqual([ENVELOPE]);
    });

    it('forgets a request that was cancelled', () => {
      link.post({ envelope: ENVELOPE, feature: undefined });
      expect(link.cancel(1)).toBe(true);
      peerLink.isReady = true;
      link.flush();
      expect(sent).toEqual([]);
    });

    it('refuses more messages than it can keep', () => {
      const results = Array.from({ length: 70 }, () =>
        link.post({ envelope: ENVELOPE, feature: undefined }),
      );
      expect(results.filter((isAccepted) => isAccepted)).toHaveLength(64);
    });
  });

  it('sends nothing that the other instance does not support', () => {
    expect(link.post({ envelope: ENVELOPE, feature: 'b' })).toBe(false);
    expect(unsupported).toEqual([ENVELOPE]);
    expect(link.post({ envelope: ENVELOPE, feature: 'a' })).toBe(true);
    expect(sent).toEqual([ENVELOPE]);
  });
});

import { describe, expect, it } from 'vitest';
import { ConnectionLimiter, ProgressMeter } from '../../src/index.js';

describe('ConnectionLimiter', () => {
  function createLimiter() {
    const limiter = new ConnectionLimiter<{ name: string }>({
      maxConnections: 4,
      maxPerAddress: 3,
    });
    const admit = (name: string, address: string, isEstablished: boolean) => {
      const connection = { name };
      const { isAdmitted, evicted } = limiter.admit(connection, address);
      if (isEstablished) limiter.recordEstablished(connection);
      return { connection, isAdmitted, evicted: evicted?.name };
    };
    return { limiter, admit };
  }

  // Guards against silent connections that keep everybody else out.
  it('gives the place of the oldest connection without a session to a new one', () => {
    const { limiter, admit } = createLimiter();
    for (const name of ['1', '2', '3']) admit(name, 'a', false);
    expect(admit('4', 'a', true)).toMatchObject({ isAdmitted: true, evicted: '1' });
    admit('5', 'b', true);
    expect(admit('6', 'c', true)).toMatchObject({ isAdmitted: true, evicted: '2' });
    expect(limiter.count).toBe(4);
  });

  // Guards against one address that uses the descriptors of all others.
  it('refuses an address at its limit, and serves the others on', () => {
    const { admit } = createLimiter();
    for (const name of ['1', '2', '3']) admit(name, 'a', true);
    expect(admit('4', 'a', true)).toMatchObject({ isAdmitted: false, evicted: undefined });
    expect(admit('5', 'b', true).isAdmitted).toBe(true);
  });

  it('keeps established connections at the limit, and admits again after one has closed', () => {
    const { limiter, admit } = createLimiter();
    const { connection } = admit('1', 'a', true);
    for (const name of ['2', '3', '4']) admit(name, 'b', true);
    expect(admit('5', 'a', true)).toMatchObject({ isAdmitted: false, evicted: undefined });
    limiter.remove(connection);
    expect(admit('5', 'a', true).isAdmitted).toBe(true);
  });
});

describe('ProgressMeter', () => {
  const limits = { minBytesPerSecond: 100, windowMs: 30_000 };

  it('finds a connection slow that moves less than the minimum over a window', () => {
    const meter = new ProgressMeter(limits, 0);
    expect(meter.checkSlow(29_999, 0, true)).toBe(false);
    expect(meter.checkSlow(30_000, 2999, true)).toBe(true);
  });

  it('accepts exactly the minimum', () => {
    expect(new ProgressMeter(limits, 0).checkSlow(30_000, 3000, true)).toBe(false);
  });

  // Guards against idle sessions in order that are closed as slow.
  it('never finds an idle connection slow, and begins again after it was idle', () => {
    const meter = new ProgressMeter(limits, 0);
    for (let now = 0; now < 600_000; now += 1000) {
      expect(meter.checkSlow(now, 10, false)).toBe(false);
    }
    expect(meter.checkSlow(600_000, 10, true)).toBe(false);
    expect(meter.checkSlow(628_000, 10, true)).toBe(false);
    expect(meter.checkSlow(630_000, 10, true)).toBe(true);
  });
});

/** What happens to a member or a host during a pattern. */
export interface PatternFault {
  readonly kind:
    /** A member takes `factor` times as long for each statement. */
    | 'slow-member'
    /** The replicas of a group are too old for its reads. */
    | 'lagging-replicas'
    /** The instance that hosts a member answers nothing. */
    | 'lost-host'
    /** No instance serves; callers return together afterwards. */
    | 'power-loss'
    /** Each instance in turn closes its connections. */
    | 'rolling-restart';
  readonly fromMs: number;
  readonly untilMs: number;
  readonly factor?: number;
}

/** A load that is replayed against each policy. */
export interface LoadPattern {
  readonly name: string;
  readonly describe: string;
  /** Arrivals as a multiple of the usual rate at a time. */
  readonly computeIntensity: (nowMs: number) => number;
  /** Arrivals of the largest organisation as a multiple of its usual rate. */
  readonly hotFactor: number;
  readonly faults: readonly PatternFault[];
}

const BURST_FROM_MS = 4000;
const BURST_UNTIL_MS = 7000;
const steady = (): number => 1;

function createPattern(
  name: string,
  describe: string,
  changes: Partial<LoadPattern> = {},
): LoadPattern {
  return { name, describe, computeIntensity: steady, hotFactor: 1, faults: [], ...changes };
}

/** All patterns. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  createPattern('steady', 'the usual load'),
  createPattern('burst', 'four times the usual load for 3 s', {
    computeIntensity: (now) => (now >= BURST_FROM_MS && now < BURST_UNTIL_MS ? 4 : 1),
  }),
  createPattern('hot-organisation', 'the largest organisation sends 8 times its usual number', {
    hotFactor: 8,
  }),
  createPattern('lagging-replicas', 'all reads of a group go to its primary for 6 s', {
    computeIntensity: () => 1.6,
    faults: [{ kind: 'lagging-replicas', fromMs: 3000, untilMs: 9000 }],
  }),
  createPattern('power-loss', 'nothing is served for 1.5 s, and callers rush back', {
    faults: [{ kind: 'power-loss', fromMs: 4000, untilMs: 5500 }],
  }),
  createPattern('slow-member', 'a member takes five times as long for 6 s', {
    faults: [{ kind: 'slow-member', fromMs: 3000, untilMs: 9000, factor: 5 }],
  }),
  createPattern('lost-host', 'the host of a member is silent for 4 s', {
    faults: [{ kind: 'lost-host', fromMs: 3000, untilMs: 7000 }],
  }),
  createPattern('rolling-restart', 'every instance restarts in turn', {
    faults: [{ kind: 'rolling-restart', fromMs: 2000, untilMs: 9000 }],
  }),
];

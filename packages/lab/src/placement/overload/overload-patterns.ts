/** Statements of one kind, as docs/OVERLOAD-AND-PLACES.md names them. */
export interface RequestClass {
  readonly name: string;
  /** Lower values are served first. */
  readonly urgency: number;
  readonly objectiveMs: number;
  readonly meanServiceMs: number;
  /** Share of the arrivals. The page names none; chosen so that each class matters to the load. */
  readonly share: number;
  /** Share that only the primary may run. */
  readonly primaryShare: number;
  /** Share that is sent in transactions of three statements. */
  readonly transactionShare: number;
}

/** A fleet with its workload. */
export interface Deployment {
  readonly name: string;
  readonly classes: readonly RequestClass[];
  readonly slots: number;
  readonly connections: number;
}

const USUAL = { primaryShare: 0.2, transactionShare: 0 };

/** The two deployments of the page. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'first',
    slots: 4,
    connections: 56,
    classes: [
      {
        name: 'urgent',
        urgency: 0,
        objectiveMs: 400,
        meanServiceMs: 3,
        share: 0.3,
        primaryShare: 1,
        transactionShare: 0.4,
      },
      { name: 'usual', urgency: 1, objectiveMs: 600, meanServiceMs: 15, share: 0.3, ...USUAL },
      { name: 'least', urgency: 2, objectiveMs: 1500, meanServiceMs: 9, share: 0.4, ...USUAL },
    ],
  },
  {
    name: 'second',
    slots: 4,
    connections: 70,
    classes: [
      { name: 'urgent', urgency: 1, objectiveMs: 400, meanServiceMs: 5, share: 0.4, ...USUAL },
      { name: 'long', urgency: 2, objectiveMs: 800, meanServiceMs: 26, share: 0.3, ...USUAL },
      { name: 'medium', urgency: 2, objectiveMs: 800, meanServiceMs: 15, share: 0.3, ...USUAL },
    ],
  },
];

/** A load that is replayed against each queue. */
export interface OverloadPattern {
  readonly name: string;
  readonly describe: string;
  /** Arrivals of the least urgent classes as a multiple of their usual number, during the burst. */
  readonly burstFactor: number;
  /** Arrivals of the two largest organisations as a multiple of their usual number. */
  readonly largeFactor: number;
  /** Height of the load waves of the groups, which are out of phase. */
  readonly waveHeight: number;
  /** Time that a statement takes at the first replica and the last primary, as a multiple. */
  readonly slowFactor: number;
  /** Period in which the slow members turn fast and slow again; 0: they stay slow. */
  readonly flapMs: number;
  /** Whether the replicas are too old for reads during the fault. */
  readonly isLagging: boolean;
  /** Transactions per second and group whose clients sit idle in them. */
  readonly idlePerSecond: number;
}

const NOTHING = {
  burstFactor: 1,
  largeFactor: 1,
  waveHeight: 0,
  slowFactor: 1,
  flapMs: 0,
  isLagging: false,
  idlePerSecond: 0,
};

/** Bursts and faults last from the first to the second time. */
export const FAULT_FROM_MS = 3000;
export const FAULT_UNTIL_MS = 9000;

/** All patterns. */
export const OVERLOAD_PATTERNS: readonly OverloadPattern[] = [
  { ...NOTHING, name: 'usual', describe: 'three quarters of what the members can do' },
  {
    ...NOTHING,
    name: 'least-urgent-burst',
    describe: 'the least urgent class sends twice its usual number for 6 s',
    burstFactor: 2,
  },
  {
    ...NOTHING,
    name: 'large-organisations',
    describe: 'the two largest organisations send six times their usual number',
    largeFactor: 6,
  },
  {
    ...NOTHING,
    name: 'waves',
    describe: 'load waves between 0.3 and 1.7 of the usual number, out of phase between groups',
    waveHeight: 0.7,
  },
  {
    ...NOTHING,
    name: 'slow-members',
    describe: 'a replica and a primary take seven times as long for 6 s',
    slowFactor: 7,
  },
  {
    ...NOTHING,
    name: 'flapping-members',
    describe: 'the same, with a change every 0.7 s',
    slowFactor: 7,
    flapMs: 700,
  },
  {
    ...NOTHING,
    name: 'lagging-under-burst',
    describe: 'all reads go to the primaries during the burst',
    burstFactor: 2,
    isLagging: true,
  },
  {
    ...NOTHING,
    name: 'idle-transactions',
    describe: 'one organisation begins 30 transactions a second and sits idle in each for 3 s',
    idlePerSecond: 30,
  },
  {
    name: 'all-at-once',
    describe: 'all of these together',
    burstFactor: 2,
    largeFactor: 6,
    waveHeight: 0.7,
    slowFactor: 7,
    flapMs: 700,
    isLagging: true,
    idlePerSecond: 30,
  },
];

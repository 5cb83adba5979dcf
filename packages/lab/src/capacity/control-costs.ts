import {
  DEFAULT_MEMBERSHIP_TIMINGS,
  DEFAULT_WATCHER_TIMINGS,
  type FailureDomainId,
  type GroupId,
  GroupWatcher,
  type InstanceId,
  type InstanceRecord,
  AdmissionQueue,
  type LogPosition,
  type MemberId,
  type MemberStatus,
  Membership,
  type OrganisationId,
  SettingsReplica,
  type SettingsRevision,
  type Term,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { EXPERIMENT_ADMISSION_RULES } from '../shares/loan-strategy.js';
import { fitLine, type LinearFit, type MeasuredCost, repeatMeasurement } from './statistics.js';

const MEASUREMENT_RUNS = 5;
const GROUP_COUNTS = [500, 2000, 4000];

/** Processor time and memory of the control decisions, each per unit. */
export interface ControlCosts {
  /** Microseconds for one probe of a group: three orders, their responses, the evaluation. */
  readonly probeMicros: MeasuredCost;
  /** Microseconds for one token loan: request, grant, receipt, settlement. */
  readonly loanMicros: MeasuredCost;
  /** Microseconds for one membership period with 7,700 known instances. */
  readonly membershipMicros: MeasuredCost;
  /** Bytes of heap for each known instance. */
  readonly instanceBytes: LinearFit;
  /** Bytes of heap for each group with its route, organisation and key. */
  readonly settingsBytes: LinearFit;
  /** Microseconds for one settings change, by number of groups in the settings. */
  readonly changeMicros: LinearFit;
}

/**
 * Measures the control decisions in this process. Memory figures need `node --expose-gc`.
 *
 * @returns all costs
 */
export function measureControlCosts(): ControlCosts {
  return {
    probeMicros: repeatMeasurement(MEASUREMENT_RUNS, measureProbe),
    loanMicros: repeatMeasurement(MEASUREMENT_RUNS, measureLoan),
    membershipMicros: repeatMeasurement(MEASUREMENT_RUNS, measureMembership),
    instanceBytes: measureInstanceBytes(),
    ...measureSettings(),
  };
}

function readCpuMicros(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** @returns mean processor time of one round, in microseconds */
function measureCpuMicros(rounds: number, run: (round: number) => void): number {
  const startedAtMicros = readCpuMicros();
  for (let round = 0; round < rounds; round += 1) run(round);
  return (readCpuMicros() - startedAtMicros) / rounds;
}

function createStatus(member: string, role: MemberStatus['role'], position: number): MemberStatus {
  return {
    member: toBrand<MemberId>(member),
    role,
    term: toBrand<Term>(1),
    position: toBrand<LogPosition>(position),
    applied: toBrand<LogPosition>(position),
    promisedTerm: toBrand<Term>(1),
    source: role === 'replica' ? toBrand<MemberId>('member-1') : undefined,
    hasMajority: role === 'primary',
    openTransactions: 0,
  };
}

function measureProbe(): number {
  const identity = {
    group: toBrand<GroupId>('group'),
    instance: toBrand<InstanceId>('instance-1'),
    failureDomain: toBrand<FailureDomainId>('domain-1'),
  };
  const watcher = new GroupWatcher(identity, DEFAULT_WATCHER_TIMINGS, () => 0.5);
  const domains = [1, 2, 3].map((number) => toBrand<FailureDomainId>(`domain-${number}`));
  watcher.configure(
    domains.map((failureDomain, index) => ({
      id: toBrand<MemberId>(`member-${index + 1}`),
      failureDomain,
      leaving: false,
    })),
    new Set(domains),
  );
  return measureCpuMicros(20_000, (round) => {
    const now = toMilliseconds(round * DEFAULT_WATCHER_TIMINGS.probeEveryMs);
    for (const action of watcher.step(now)) {
      if (action.kind !== 'order') continue;
      const role = action.member === 'member-1' ? 'primary' : 'replica';
      const status = createStatus(action.member, role, round);
      watcher.handleResponse(action.token, { accepted: true, status }, now);
    }
  });
}

function measureLoan(): number {
  const organisation = toBrand<OrganisationId>('organisation');
  const ids = [toBrand<InstanceId>('lender'), toBrand<InstanceId>('borrower')] as const;
  const [lender, borrower] = ids.map(
    (id) => new AdmissionQueue(id, organisation, EXPERIMENT_ADMISSION_RULES),
  );
  const holders = new Set<InstanceId>([ids[0]]);
  lender?.setShare({ ratePerSecond: 1e6, burst: 1e6, holders }, toMilliseconds(0));
  borrower?.setShare({ ratePerSecond: 0, burst: 0, holders }, toMilliseconds(0));
  return measureCpuMicros(20_000, (round) => {
    const now = toMilliseconds(1000 + round);
    borrower?.addRequest(now);
    for (const { requestId, tokens } of borrower?.step(now).loanRequests ?? []) {
      const offer = lender?.handleLoanRequest(tokens, now);
      if (offer !== undefined) borrower?.handleOffer(requestId, offer, now);
    }
    for (const { loan, unspent } of borrower?.step(now).settlements ?? []) {
      lender?.handleSettlement(loan, unspent, now);
    }
  });
}

function createInstanceRecord(number: number): InstanceRecord {
  return {
    id: toBrand<InstanceId>(`instance-${number}`),
    failureDomain: toBrand<FailureDomainId>(`domain-${number % 10}`),
    host: `10.0.${number % 250}.${Math.floor(number / 250)}`,
    peerPort: 7000,
    incarnation: 1,
    state: 'alive',
  };
}

function createMembership(count: number): Membership {
  const membership = new Membership(createInstanceRecord(0), DEFAULT_MEMBERSHIP_TIMINGS, () => 0.5);
  membership.mergeListed(
    Array.from({ length: count }, (_, index) => createInstanceRecord(index + 1)),
  );
  return membership;
}

const INSTANCE_COUNT = 7700;

function measureMembership(): number {
  const membership = createMembership(INSTANCE_COUNT);
  const { periodMs } = DEFAULT_MEMBERSHIP_TIMINGS;
  return measureCpuMicros(2000, (round) => {
    const now = toMilliseconds(round * periodMs);
    for (const { to, message } of membership.step(now)) {
      const { sequence } = message;
      membership.handleMessage({ kind: 'ack', from: to.id, sequence, gossip: [] }, now);
    }
  });
}

function readHeapBytes(): number {
  const collectGarbage = (globalThis as { gc?: () => void }).gc;
  collectGarbage?.();
  collectGarbage?.();
  return process.memoryUsage().heapUsed;
}

function measureInstanceBytes(): LinearFit {
  const points = [1000, 4000, INSTANCE_COUNT].map((count) => {
    const before = readHeapBytes();
    const membership = createMembership(count);
    const bytes = readHeapBytes() - before;
    return { x: membership.all.length, y: bytes };
  });
  return fitLine(points);
}

function createSettings(groups: number): { path: string; value: unknown }[] {
  const digest = 'a'.repeat(56);
  return Array.from({ length: groups }, (_, index) => index).flatMap((index) => [
    {
      path: `teams/team-${index % 100}/groups/group-${index}`,
      value: {
        connectionsPerMember: 16,
        members: [1, 2, 3].map((member) => ({
          id: `member-${member}`,
          host: '10.1.2.3',
          port: 10_000 + (index % 50_000),
          failureDomain: `domain-${member}`,
        })),
      },
    },
    {
      path: `teams/team-${index % 100}/routes/database-${index}`,
      value: { group: `group-${index}` },
    },
    {
      path: `teams/team-${index % 100}/organisations/organisation-${index}`,
      value: { requestsPerSecond: 100, burst: 100 },
    },
    {
      path: `teams/team-${index % 100}/keys/key-${index}`,
      value: {
        organisation: `organisation-${index}`,
        digest: `${digest}${index.toString(16).padStart(8, '0')}`,
      },
    },
  ]);
}

function measureSettings(): { settingsBytes: LinearFit; changeMicros: LinearFit } {
  // All replicas stay referenced, so that none is collected while the next one is measured.
  const replicas: SettingsReplica[] = [];
  const bytePoints: { x: number; y: number }[] = [];
  const microsPoints: { x: number; y: number }[] = [];
  for (const groups of GROUP_COUNTS) {
    const before = readHeapBytes();
    const replica = new SettingsReplica();
    replicas.push(replica);
    // Parsed from JSON, as received entries are, so that they share no strings or objects.
    const entries = JSON.parse(JSON.stringify(createSettings(groups))) as ReturnType<
      typeof createSettings
    >;
    replica.apply({ kind: 'state', revision: toBrand<SettingsRevision>(1), entries });
    entries.length = 0;
    bytePoints.push({ x: groups, y: readHeapBytes() - before });
    microsPoints.push({ x: groups, y: measureChangeMicros(replica) });
  }
  if (replicas.length !== GROUP_COUNTS.length) throw new Error('a replica was not retained');
  return { settingsBytes: fitLine(bytePoints), changeMicros: fitLine(microsPoints) };
}

function measureChangeMicros(replica: SettingsReplica): number {
  return measureCpuMicros(500, (round) => {
    const from = replica.current.revision;
    replica.apply({
      kind: 'delta',
      from,
      to: toBrand<SettingsRevision>(from + 1),
      changes: [
        {
          path: 'teams/team-1/organisations/organisation-1',
          value: { requestsPerSecond: 100 + round, burst: 100 },
        },
      ],
    });
  });
}

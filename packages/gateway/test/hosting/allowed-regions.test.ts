import type { AllowedRegions, InstanceId, MemberEntry } from '@heatherledge/core';
import type { PeerBody, PeerExchange, PeerHub } from '@heatherledge/daemon';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  type AccessRefusal,
  createRefusal,
  encodeResult,
  GatewayMetrics,
  type HostDirectory,
  type MemberAccess,
  MemberAccessRouter,
  type MemberRegistry,
  type StatementResult,
} from '../../src/index.js';
import { EMPTY_REPLY } from '../fixtures/fake-connector.js';
import { createStatementRequest } from '../fixtures/hosting-pair.js';
import { createRegionMember, createRegionRoute, RegionFleet } from '../fixtures/region-fleet.js';

const SELF = 'self';
const NORTH: AllowedRegions = new Set(['north']);
const SERVED: StatementResult = {
  kind: 'answered',
  reply: { ...EMPTY_REPLY, signature: 'sig' },
  sentAt: 0 as never,
};

describe('hosts of statements with allowed regions', () => {
  let fleet: RegionFleet;
  let hosts: HostDirectory;
  let router: MemberAccessRouter;
  /** Instances that received a body, in order; the own instance is `local`. */
  let receivers: string[];
  let respond: (host: string) => AccessRefusal | PeerExchange | StatementResult;
  let entry: MemberEntry;

  beforeEach(() => {
    fleet = new RegionFleet();
    hosts = fleet.createHosts(SELF);
    receivers = [];
    respond = () => SERVED;
    entry = createRegionMember('m1', 'north-1');
    const hub = {
      handle() {},
      exchange: async (to: InstanceId, _: PeerBody): Promise<PeerExchange> => {
        receivers.push(to);
        const response = respond(to);
        if (response.kind === 'lost' && !('reason' in response)) return response;
        return { kind: 'answered', body: encodeResult(response as StatementResult, 0) };
      },
    } as unknown as PeerHub;
    const serveLocally = async (): Promise<StatementResult> => {
      receivers.push('local');
      return SERVED;
    };
    const local: MemberAccess = { run: serveLocally, begin: serveLocally };
    const registry = {
      findEntry: () => entry,
      findLoad: () => undefined,
      recordReply() {},
    } as unknown as MemberRegistry;
    router = new MemberAccessRouter(
      SELF as InstanceId,
      hub,
      hosts,
      local,
      registry,
      { findRefusal: () => undefined },
      new GatewayMetrics(),
      fleet.clock,
      fleet.log,
    );
    fleet.addInstances([SELF, 'south-1'], ['s2', 'south-1'], ['s3', 'south-2']);
    fleet.setSettings([createRegionRoute({ allowedRegions: NORTH })]);
  });

  async function run(allowedRegions: AllowedRegions | undefined): Promise<StatementResult> {
    return router.run({ ...createStatementRequest(), allowedRegions });
  }

  it('are the host and the standby of the member in an allowed region', async () => {
    fleet.addInstances(['n1', 'north-1'], ['n2', 'north-1'], ['n3', 'north-2']);
    const expected = hosts.listHosts(entry);
    expect([...expected].sort()).toEqual(['n1', 'n2']);
    respond = (host) => (host === expected[0] ? createRefusal('unreachable') : SERVED);
    await run(NORTH);
    expect(receivers).toEqual(expected);
  });

  /** Guards against a body in another region because the hosts in the allowed one do not answer. */
  it('are none in another region if host and standby fail; this instance serves by itself', async () => {
    fleet.addInstances(['n1', 'north-1'], ['n2', 'north-1']);
    respond = () => ({ kind: 'lost', wasSent: false });
    expect((await run(NORTH)).kind).toBe('answered');
    expect(receivers).toEqual([...hosts.listHosts(entry), 'local']);
  });

  /** Guards against the fallback to all instances, most of which are in other regions. */
  it('are none in another region if the failure domain of the member has no instance', async () => {
    for (let number = 1; number <= 9; number += 1) {
      entry = createRegionMember(`m${number}`, 'north-1');
      expect((await run(NORTH)).kind).toBe('answered');
      const request = { ...createStatementRequest(), readOnly: false, allowedRegions: NORTH };
      expect((await router.begin(request)).kind).not.toBe('refused');
    }
    expect(new Set(receivers)).toEqual(new Set(['local']));
    // Without a restriction, other instances are hosts of some of these members.
    for (let number = 1; number <= 9; number += 1) {
      entry = createRegionMember(`m${number}`, 'north-1');
      await run(undefined);
    }
    expect(new Set(receivers)).toEqual(new Set(['local', 's2', 's3']));
  });

  /** Guards against hosts that only own connections can replace, although the region has instances. */
  it('are instances of the same region if the failure domain of the member has none', async () => {
    fleet.addInstances(['n3', 'north-2']);
    await run(NORTH);
    await run(undefined);
    expect(receivers).toEqual(['n3', 'n3']);
  });

  /** Guards against an instance of an unknown failure domain that counts as one of every region. */
  it('are none of an unknown failure domain', async () => {
    entry = createRegionMember('m1', 'x');
    fleet.addInstances(['x1', 'x']);
    expect(await run(NORTH)).toMatchObject({ kind: 'refused', reason: 'closed', code: 'busy' });
    expect(receivers).toEqual([]);
  });

  /** Guards against a body that the host did not accept for its size and another region gets. */
  it('send no request that is too large for a host anywhere else', async () => {
    fleet.addInstances(['n1', 'north-1'], ['n2', 'north-1']);
    respond = () => ({ kind: 'lost', wasSent: false, isTooLarge: true });
    expect((await run(NORTH)).kind).toBe('answered');
    expect(receivers).toEqual([hosts.listHosts(entry)[0], 'local']);
  });

  /** Guards against a retry at a member that has been listed in another region meanwhile. */
  it('get nothing for a member that moved to another region between two attempts', async () => {
    fleet.addInstances(['n1', 'north-1'], ['n2', 'north-1']);
    respond = () => {
      entry = createRegionMember('m1', 'south-1');
      return createRefusal('unreachable');
    };
    expect(await run(NORTH)).toMatchObject({ kind: 'refused', code: 'busy' });
    expect(receivers).toHaveLength(1);
  });

  /** Guards against a host that moved to another region while the directory remembers it. */
  it('are found anew when instances move to another region', async () => {
    fleet.addInstances(['n1', 'north-1'], ['n2', 'north-1']);
    await run(NORTH);
    fleet.addInstances(['n1', 'south-1'], ['n2', 'south-2']);
    await run(NORTH);
    expect(receivers.slice(1)).toEqual(['local']);
  });

  /** Guards against hosts that change in deployments which restrict nothing. */
  it('are as before for deployments without allowed regions', async () => {
    fleet.addInstances(['n3', 'north-2']);
    fleet.setSettings([createRegionRoute()]);
    const before = fleet.createHosts(SELF).listHosts(entry);
    expect(before).toHaveLength(2);
    expect(hosts.listHosts(entry)).toEqual(before);
    // The names were chosen so that the first host by hash is not the one in the region of the member.
    expect(before[0]).not.toBe('n3');
    fleet.setSettings([createRegionRoute()], ['north']);
    expect(hosts.listHosts(entry)).toEqual(['n3']);
    fleet.setSettings([createRegionRoute()]);
    expect(hosts.listHosts(entry)).toEqual(before);
  });
});

/** The embedded default: a stand-in platform, one stand-in group and one instance in a process. */
import { readFileSync } from 'node:fs';
import { type MemberId, type PathChange, toBrand } from '@heatherledge/core';
import { type MemberConfig, MemberServer, PlatformServer } from '@heatherledge/stand-ins';
import { parse } from 'jsonc-parser';
import type { Logger } from 'pino';
import { ProxyInstance } from '../instance.js';
import { EtcdPlatform } from '../platform/etcd-platform.js';
import type { ProcessSettings } from '../process-settings/schema.js';
import { SettingsStore } from '../settings/settings-store.js';

const REPLICATION_PORT_OFFSET = 100;
const CONNECT_MS = 12;
const RESERVED_CONNECTIONS = 6;

interface GroupValue {
  readonly members: readonly { id: string; host: string; port: number }[];
  readonly connectionsPerMember?: number;
}

/** Everything that runs in the embedded process. */
export class EmbeddedFleet {
  private readonly platform: PlatformServer;

  private readonly members: MemberServer[] = [];

  private readonly instance: ProxyInstance;

  constructor(
    private readonly config: ProcessSettings,
    private readonly settings: Readonly<Record<string, unknown>>,
    logger: Logger,
  ) {
    const { hostname: host, port } = new URL(config.platform.endpoint);
    this.platform = new PlatformServer({ host, port: Number(port), listLagMs: 0 });
    this.instance = new ProxyInstance(config, logger);
  }

  /** Starts everything and puts the settings into the store. */
  async start(): Promise<void> {
    await this.platform.start();
    for (const [path, value] of Object.entries(this.settings)) {
      if (path.includes('/groups/')) await this.startGroup(value as GroupValue);
    }
    await this.seedSettings();
    await this.instance.start();
  }

  /** Stops the instance gracefully and everything else after it. */
  async stop(): Promise<void> {
    await this.instance.stop();
    for (const member of this.members) member.stop();
    this.platform.stop();
  }

  private async startGroup(group: GroupValue): Promise<void> {
    for (const config of createMemberConfigs(group)) {
      const server = new MemberServer(config);
      this.members.push(server);
      await server.start();
    }
  }

  private async seedSettings(): Promise<void> {
    const platform = new EtcdPlatform(
      this.config.platform.endpoint,
      this.config.platform.timeoutMs,
    );
    const changes: PathChange[] = Object.entries(this.settings).map(([path, value]) => ({
      path,
      value,
    }));
    const request = { changeId: 'embedded-default', author: 'embedded', changes };
    const outcome = await new SettingsStore(platform).change(request, () => true);
    await platform.close();
    if (outcome.kind !== 'accepted') {
      throw new Error(`settings were not accepted: ${JSON.stringify(outcome)}`);
    }
  }
}

/**
 * @param group - a group of the settings
 * @returns settings of its stand-in members
 */
export function createMemberConfigs(group: GroupValue): MemberConfig[] {
  const all = group.members.map((member) => ({
    id: toBrand<MemberId>(member.id),
    host: member.host,
    port: member.port,
    replicationPort: member.port + REPLICATION_PORT_OFFSET,
  }));
  return all.map((member) => ({
    ...member,
    peers: all.filter(({ id }) => id !== member.id),
    connectionLimit: group.connectionsPerMember ?? 16,
    reservedConnections: RESERVED_CONNECTIONS,
    connectMs: CONNECT_MS,
  }));
}

/**
 * @param file - a file of operators' settings in JSON with comments
 * @returns paths and values
 */
export function readOperatorSettings(file: string): Record<string, unknown> {
  return parse(readFileSync(file, 'utf8')) as Record<string, unknown>;
}

import {
  createMemberConfigs,
  MemberServer,
  type MemberGroupSettings,
  type SettingsByPath,
  PlatformServer,
  seedSettings,
} from '@heatherledge/stand-ins';
import type { Logger } from 'pino';
import { ProxyInstance } from '../instance.js';
import type { ProcessSettings } from '../process-settings/schema.js';

/** Runs a stand-in platform, stand-in members of all groups and one instance in one process. */
export class EmbeddedFleet {
  private readonly platform: PlatformServer;

  private readonly members: MemberServer[] = [];

  private readonly instance: ProxyInstance;

  constructor(
    config: ProcessSettings,
    private readonly settings: SettingsByPath,
    logger: Logger,
  ) {
    const { hostname: host, port } = new URL(config.platform.endpoint);
    this.platform = new PlatformServer({ host, port: Number(port), listLagMs: 0 });
    this.instance = new ProxyInstance(config, logger);
  }

  /** Starts the platform and the members, writes the settings, then starts the instance. */
  async start(): Promise<void> {
    await this.platform.start();
    for (const [path, value] of Object.entries(this.settings)) {
      if (path.includes('/groups/')) await this.startGroup(value as MemberGroupSettings);
    }
    seedSettings(this.platform.store, this.settings);
    await this.instance.start();
  }

  /** Drains and stops the instance, then stops the members and the platform. */
  async stop(): Promise<void> {
    await this.instance.stop();
    for (const member of this.members) member.stop();
    this.platform.stop();
  }

  private async startGroup(group: MemberGroupSettings): Promise<void> {
    for (const config of createMemberConfigs(group)) {
      const server = new MemberServer(config);
      this.members.push(server);
      await server.start();
    }
  }
}

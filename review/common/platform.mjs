import { createServer } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

/** Interval at which members write their entries. */
export const HEARTBEAT_MS = 1200;
/** An entry is removed after this long without a heartbeat. */
export const ENTRY_TTL_MS = 3 * HEARTBEAT_MS;

/** Writes the entries of members as they do themselves, and removes those of silent ones. */
export class MemberEntries {
  constructor(store, group, zones, addresses = new Map()) {
    /** Addresses to announce in place of the members' own. */
    this.addresses = addresses;
    this.store = store;
    this.group = group;
    this.zones = zones;
    this.born = Date.now();
    /** Members that do not reach the store. */
    this.cutOff = new Set();
    this.lastBeatAt = new Map();
    this.sequence = 0;
  }

  start() {
    for (const member of this.group.members) this.beat(member);
    this.beatTimer = setInterval(() => {
      for (const member of this.group.members) this.beat(member);
    }, HEARTBEAT_MS);
    this.expiryTimer = setInterval(() => this.removeSilent(), 20);
  }

  stop() {
    clearInterval(this.beatTimer);
    clearInterval(this.expiryTimer);
  }

  /** Writes a member's entry, unless the member is down or does not reach the store. */
  beat(member) {
    if (!member.isUp || this.cutOff.has(member.id)) return;
    this.sequence += 1;
    this.lastBeatAt.set(member.id, Date.now());
    this.store.put(`servers/${member.id}`, {
      backend: this.group.name,
      address: this.addresses.get(member.id) ?? member.address,
      zone: this.zones[this.group.members.indexOf(member)],
      version: '1',
      slots: 2,
      state: 'ready',
      coldLeftMs: 0,
      seqNo: this.sequence,
      born: this.born,
      dbRole: member.role,
    });
  }

  isListed(member) {
    return this.store.read(`servers/${member.id}`) !== undefined;
  }

  removeSilent() {
    for (const [id, at] of this.lastBeatAt) {
      if (Date.now() - at < ENTRY_TTL_MS) continue;
      this.lastBeatAt.delete(id);
      this.store.remove(`servers/${id}`);
    }
  }
}

/** The platform's promotion call; a promotion takes effect some time after its response. */
export class PromotionApi {
  constructor(group, delayMs, onOrder) {
    this.group = group;
    this.delayMs = delayMs;
    this.onOrder = onOrder;
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const { id } = JSON.parse(Buffer.concat(chunks).toString());
        const isRunning = this.group.members.some((member) => member.id === id && member.isUp);
        this.onOrder({
          id,
          holder: request.headers['x-heatherledge-lease-holder'],
          fence: Number(request.headers['x-heatherledge-fence-token']),
        });
        response.statusCode = isRunning ? 200 : 409;
        response.end('{}');
        if (isRunning) setTimeout(() => this.group.promote(id), this.delayMs);
      });
    });
  }

  /** Starts to listen; returns HOST:PORT. */
  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }
}

/** Forwards connections to a member and holds its answers back for the time that its work takes. */
export class WorkingMemberLink {
  constructor(member, workMs) {
    this.member = member;
    this.workMs = workMs;
    this.sockets = new Set();
    this.server = createTcpServer((client) => this.accept(client));
  }

  async start() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  stop() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  accept(client) {
    const [host, port] = this.member.address.split(':');
    const target = connect({ host, port: Number(port) });
    const pair = [client, target];
    for (const socket of pair) {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('close', () => {
        this.sockets.delete(socket);
        for (const each of pair) each.destroy();
      });
    }
    client.on('data', (chunk) => target.write(chunk));
    target.on('data', (chunk) => setTimeout(() => client.write(chunk), this.workMs));
  }
}

/** Nodes that exchange messages over links that can fail. */
import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './random.js';

/** Name of a node. */
export type NodeName = string;

/** What the network needs to know of latencies, all one way, in milliseconds. */
export interface NetworkLatencies {
  readonly withinDomainMs: number;
  readonly betweenRegionsMs: number;
  readonly toClientsMs: number;
}

interface NodeState {
  readonly domain: string;
  alive: boolean;
  frozen: boolean;
  /** Raised by each kill, so that messages to an earlier life are dropped. */
  life: number;
  readonly inbox: (() => void)[];
}

/** Observes each message; used to strike at a step of a protocol. */
export type MessageObserver = (step: string, from: NodeName, to: NodeName) => void;

/** Messages between nodes, with latency, cuts, freezes and kills. */
export class FakeNetwork {
  observer: MessageObserver | undefined;

  private readonly nodes = new Map<NodeName, NodeState>();

  private readonly cuts = new Map<string, Set<string>>();

  private readonly slow = new Map<string, number>();

  private loseNext: { from: NodeName; to: NodeName } | undefined;

  /** Latest delivery on each connection; messages on one connection keep their order. */
  private readonly channels = new Map<string, number>();

  private delayNext: { from: NodeName; to: NodeName; byMs: number } | undefined;

  constructor(
    readonly queue: EventQueue,
    private readonly random: SeededRandom,
    private readonly latencies: NetworkLatencies,
  ) {}

  /**
   * @param name - a new node
   * @param domain - its failure domain, or `client`
   */
  addNode(name: NodeName, domain: string): void {
    this.nodes.set(name, { domain, alive: true, frozen: false, life: 0, inbox: [] });
  }

  /** @returns names of all nodes */
  get names(): NodeName[] {
    return [...this.nodes.keys()];
  }

  /**
   * @param name - a node
   * @returns its failure domain
   */
  domainOf(name: NodeName): string {
    return this.nodes.get(name)?.domain ?? '';
  }

  /**
   * @param name - a node
   * @returns whether it runs
   */
  isRunning(name: NodeName): boolean {
    const node = this.nodes.get(name);
    return node !== undefined && node.alive && !node.frozen;
  }

  /**
   * @param name - a node
   * @returns whether its process exists, frozen or not
   */
  isAlive(name: NodeName): boolean {
    return this.nodes.get(name)?.alive ?? false;
  }

  /**
   * Sends a message.
   *
   * @param step - name of the protocol's step
   * @param from - sender
   * @param to - receiver
   * @param deliver - what the receiver does
   * @param channel - connection whose messages arrive in the order in which they were sent
   */
  send(step: string, from: NodeName, to: NodeName, deliver: () => void, channel?: string): void {
    if (!this.isRunning(from)) return;
    this.observer?.(step, from, to);
    // The observer may have struck the sender before the message left.
    if (!this.isRunning(from) || this.isCut(from, to) || this.takeLoss(from, to)) return;
    const target = this.nodes.get(to);
    const life = target?.life;
    const travelMs = this.resolveLatency(from, to) + this.takeDelay(from, to);
    const delayMs = this.queueBehind(channel, travelMs);
    this.queue.schedule(delayMs, () => {
      if (target === undefined || !target.alive || target.life !== life) return;
      if (this.isCut(from, to)) return;
      if (target.frozen) target.inbox.push(deliver);
      else deliver();
    });
  }

  /**
   * Runs something on a node after a time, unless the node has been killed by then; a frozen node
   * runs it when it resumes.
   */
  later(name: NodeName, delayMs: number, run: () => void): void {
    const node = this.nodes.get(name);
    const life = node?.life;
    this.queue.schedule(delayMs, () => {
      if (node === undefined || !node.alive || node.life !== life) return;
      if (node.frozen) node.inbox.push(run);
      else run();
    });
  }

  /** Ends a node's process. */
  kill(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node === undefined) return;
    node.alive = false;
    node.frozen = false;
    node.life += 1;
    node.inbox.length = 0;
  }

  /** Starts a killed node's process again. */
  restart(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node !== undefined) node.alive = true;
  }

  /** Stops a node as SIGSTOP does. */
  freeze(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node?.alive) node.frozen = true;
  }

  /** Lets a frozen node go on; what came in meanwhile comes at once. */
  resume(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node === undefined || !node.frozen) return;
    node.frozen = false;
    for (const run of node.inbox.splice(0)) {
      if (node.frozen || !node.alive) break;
      run();
    }
  }

  /** Drops everything from one node to another. */
  cut(from: NodeName, to: NodeName): void {
    const targets = this.cuts.get(from) ?? new Set();
    targets.add(to);
    this.cuts.set(from, targets);
  }

  /**
   * Cuts a failure domain off from everything else, both ways.
   *
   * @param domain - the failure domain
   * @param spared - domain that still reaches it, if any
   */
  isolate(domain: string, spared?: string): void {
    for (const from of this.names) {
      for (const to of this.names) {
        const [left, right] = [this.domainOf(from), this.domainOf(to)];
        const crosses = left !== right && (left === domain || right === domain);
        if (crosses && left !== spared && right !== spared) this.cut(from, to);
      }
    }
  }

  /** Ends all cuts and slow links. */
  heal(): void {
    this.cuts.clear();
    this.slow.clear();
  }

  /** Makes a node's messages slow. */
  slowDown(name: NodeName, byMs: number): void {
    this.slow.set(name, byMs);
  }

  /** Loses the next message between two nodes. */
  loseNextMessage(from: NodeName, to: NodeName): void {
    this.loseNext = { from, to };
  }

  /** Delays the next message between two nodes, so that later ones overtake it. */
  delayNextMessage(from: NodeName, to: NodeName, byMs: number): void {
    this.delayNext = { from, to, byMs };
  }

  private queueBehind(channel: string | undefined, travelMs: number): number {
    if (channel === undefined) return travelMs;
    const now = this.queue.now();
    const arrival = Math.max(now + travelMs, this.channels.get(channel) ?? 0);
    this.channels.set(channel, arrival);
    return arrival - now;
  }

  private isCut(from: NodeName, to: NodeName): boolean {
    return this.cuts.get(from)?.has(to) ?? false;
  }

  private takeLoss(from: NodeName, to: NodeName): boolean {
    if (this.loseNext?.from !== from || this.loseNext.to !== to) return false;
    this.loseNext = undefined;
    return true;
  }

  private takeDelay(from: NodeName, to: NodeName): number {
    const { delayNext } = this;
    if (delayNext?.from !== from || delayNext.to !== to) return 0;
    this.delayNext = undefined;
    return delayNext.byMs;
  }

  private resolveLatency(from: NodeName, to: NodeName): number {
    const { withinDomainMs, betweenRegionsMs, toClientsMs } = this.latencies;
    const [left, right] = [this.domainOf(from), this.domainOf(to)];
    const isClient = left === 'client' || right === 'client';
    const nearMs = left === right ? withinDomainMs : betweenRegionsMs;
    const baseMs = isClient ? toClientsMs : nearMs;
    const slowMs = Math.max(this.slow.get(from) ?? 0, this.slow.get(to) ?? 0);
    return baseMs * (1 + this.random.next() / 4) + slowMs * this.random.next();
  }
}

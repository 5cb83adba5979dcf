import type { EventQueue } from './event-queue.js';
import type { SeededRandom } from './random.js';

/** Name of a node. */
export type NodeName = string;

/** One-way latencies, in milliseconds. */
export interface NetworkLatencies {
  readonly withinDomainMs: number;
  /** Between nodes of different failure domains. */
  readonly betweenRegionsMs: number;
  /** Between a caller and any node. */
  readonly toCallersMs: number;
}

interface NodeState {
  readonly domain: string;
  alive: boolean;
  frozen: boolean;
  /** Incremented by each kill, so that messages to an earlier incarnation are dropped. */
  incarnation: number;
  /** Deliveries and timers that came due while the node was frozen. */
  readonly deferred: (() => void)[];
}

/** Called before each message is sent; fault injection uses it to act at a step of a protocol. */
export type MessageObserver = (step: string, from: NodeName, to: NodeName) => void;

/** Simulates the messages between nodes, with latency, cut links, and frozen and killed nodes. */
export class FakeNetwork {
  observer: MessageObserver | undefined;

  private readonly nodes = new Map<NodeName, NodeState>();

  /** Receivers that each sender cannot reach. */
  private readonly cutLinks = new Map<string, Set<string>>();

  /** Maximum random latency added to the messages of slow nodes. */
  private readonly addedLatencyMs = new Map<string, number>();

  private dropNext: { from: NodeName; to: NodeName } | undefined;

  /** Time of the last delivery on each connection; messages on one connection arrive in order. */
  private readonly lastArrivalMs = new Map<string, number>();

  private delayNext: { from: NodeName; to: NodeName; delayMs: number } | undefined;

  constructor(
    readonly queue: EventQueue,
    private readonly random: SeededRandom,
    private readonly latencies: NetworkLatencies,
  ) {}

  /**
   * Adds a running node.
   *
   * @param name - name of the node
   * @param domain - its failure domain, or `client` for a caller
   */
  addNode(name: NodeName, domain: string): void {
    this.nodes.set(name, { domain, alive: true, frozen: false, incarnation: 0, deferred: [] });
  }

  /** @returns names of all nodes */
  get nodeNames(): NodeName[] {
    return [...this.nodes.keys()];
  }

  /**
   * @param name - a node
   * @returns its failure domain, or an empty string if there is no such node
   */
  getDomain(name: NodeName): string {
    return this.nodes.get(name)?.domain ?? '';
  }

  /**
   * @param name - a node
   * @returns whether its process exists and is not frozen
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
   * Sends a message. It is lost if the link is cut when it is sent or when it arrives, or if the
   * receiver is killed in between; a frozen receiver handles it when it resumes.
   *
   * @param step - name of the protocol's step
   * @param from - sender
   * @param to - receiver
   * @param deliver - called when the receiver handles the message
   * @param channel - connection on which messages arrive in the order in which they were sent;
   * without it, messages may overtake each other
   */
  send(step: string, from: NodeName, to: NodeName, deliver: () => void, channel?: string): void {
    if (!this.isRunning(from)) return;
    this.observer?.(step, from, to);
    // The observer may have injected a fault that stops the sender or the message.
    if (!this.isRunning(from) || this.isCut(from, to) || this.consumeDrop(from, to)) return;
    const target = this.nodes.get(to);
    const incarnation = target?.incarnation;
    const latencyMs = this.computeLatency(from, to) + this.consumeDelay(from, to);
    const delayMs = this.computeChannelDelay(channel, latencyMs);
    this.queue.schedule(delayMs, () => {
      if (target === undefined || !target.alive || target.incarnation !== incarnation) return;
      if (this.isCut(from, to)) return;
      if (target.frozen) target.deferred.push(deliver);
      else deliver();
    });
  }

  /**
   * Schedules a callback on a node. It is dropped if the node is killed before; a frozen node runs
   * it when it resumes.
   */
  scheduleOnNode(name: NodeName, delayMs: number, run: () => void): void {
    const node = this.nodes.get(name);
    const incarnation = node?.incarnation;
    this.queue.schedule(delayMs, () => {
      if (node === undefined || !node.alive || node.incarnation !== incarnation) return;
      if (node.frozen) node.deferred.push(run);
      else run();
    });
  }

  /** Ends a node's process. */
  kill(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node === undefined) return;
    node.alive = false;
    node.frozen = false;
    node.incarnation += 1;
    node.deferred.length = 0;
  }

  /** Starts a killed node's process again. */
  restart(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node !== undefined) node.alive = true;
  }

  /** Freezes a node's process, as SIGSTOP does. */
  freeze(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node?.alive) node.frozen = true;
  }

  /** Resumes a frozen node; its deferred deliveries and timers run at once. */
  resume(name: NodeName): void {
    const node = this.nodes.get(name);
    if (node === undefined || !node.frozen) return;
    node.frozen = false;
    for (const run of node.deferred.splice(0)) {
      if (node.frozen || !node.alive) break;
      run();
    }
  }

  /** Drops all messages from one node to another, until {@link FakeNetwork.heal}. */
  cut(from: NodeName, to: NodeName): void {
    const targets = this.cutLinks.get(from) ?? new Set();
    targets.add(to);
    this.cutLinks.set(from, targets);
  }

  /**
   * Cuts all links between a failure domain and other domains, in both directions.
   *
   * @param domain - the failure domain
   * @param except - a domain whose links to it stay up
   */
  isolate(domain: string, except?: string): void {
    for (const from of this.nodeNames) {
      for (const to of this.nodeNames) {
        const [fromDomain, toDomain] = [this.getDomain(from), this.getDomain(to)];
        const isCrossing =
          fromDomain !== toDomain && (fromDomain === domain || toDomain === domain);
        if (isCrossing && fromDomain !== except && toDomain !== except) this.cut(from, to);
      }
    }
  }

  /** Restores all cut links and slow nodes. */
  heal(): void {
    this.cutLinks.clear();
    this.addedLatencyMs.clear();
  }

  /** Adds a random latency, up to a maximum, to each message from or to a node. */
  slowDown(name: NodeName, maxAddedMs: number): void {
    this.addedLatencyMs.set(name, maxAddedMs);
  }

  /** Drops the next message from one node to another. */
  dropNextMessage(from: NodeName, to: NodeName): void {
    this.dropNext = { from, to };
  }

  /** Delays the next message from one node to another, so that later messages overtake it. */
  delayNextMessage(from: NodeName, to: NodeName, delayMs: number): void {
    this.delayNext = { from, to, delayMs };
  }

  /** Computes the delivery delay, so that messages on a channel do not overtake each other. */
  private computeChannelDelay(channel: string | undefined, latencyMs: number): number {
    if (channel === undefined) return latencyMs;
    const now = this.queue.now();
    const arrivalMs = Math.max(now + latencyMs, this.lastArrivalMs.get(channel) ?? 0);
    this.lastArrivalMs.set(channel, arrivalMs);
    return arrivalMs - now;
  }

  private isCut(from: NodeName, to: NodeName): boolean {
    return this.cutLinks.get(from)?.has(to) ?? false;
  }

  private consumeDrop(from: NodeName, to: NodeName): boolean {
    if (this.dropNext?.from !== from || this.dropNext.to !== to) return false;
    this.dropNext = undefined;
    return true;
  }

  private consumeDelay(from: NodeName, to: NodeName): number {
    const { delayNext } = this;
    if (delayNext?.from !== from || delayNext.to !== to) return 0;
    this.delayNext = undefined;
    return delayNext.delayMs;
  }

  private computeLatency(from: NodeName, to: NodeName): number {
    const { withinDomainMs, betweenRegionsMs, toCallersMs } = this.latencies;
    const [fromDomain, toDomain] = [this.getDomain(from), this.getDomain(to)];
    const isCaller = fromDomain === 'client' || toDomain === 'client';
    const betweenNodesMs = fromDomain === toDomain ? withinDomainMs : betweenRegionsMs;
    const baseMs = isCaller ? toCallersMs : betweenNodesMs;
    const maxAddedMs = Math.max(
      this.addedLatencyMs.get(from) ?? 0,
      this.addedLatencyMs.get(to) ?? 0,
    );
    return baseMs * (1 + this.random.next() / 4) + maxAddedMs * this.random.next();
  }
}

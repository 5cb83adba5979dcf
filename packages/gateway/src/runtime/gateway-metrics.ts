import { createServer, type Server } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Upper bounds of the latency histogram's buckets, in seconds. */
const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/** Upper bounds of the queue length's buckets; a queue holds at most 384 statements. */
const QUEUE_LENGTH_BUCKETS = [0, 4, 12, 24, 48, 96, 192, 384];

/** Paths of the state dump; the operators' tool uses `/v1/state`. */
const STATE_PATHS = new Set(['/state', '/v1/state']);

/** Metrics of one gateway in the Prometheus format; names are listed in docs/METRICS.md. */
export class GatewayMetrics {
  readonly registry = new Registry();

  readonly statements = new Counter({
    name: 'heatherledge_gateway_statements_total',
    help: 'Statements by consistency of their route and outcome.',
    labelNames: ['consistency', 'outcome'] as const,
    registers: [this.registry],
  });

  readonly latencySeconds = new Histogram({
    name: 'heatherledge_gateway_statement_seconds',
    help: 'Time from a statement to its answer, in seconds.',
    labelNames: ['consistency'] as const,
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  readonly callersDropped = new Counter({
    name: 'heatherledge_gateway_callers_dropped_total',
    help: 'Connections of callers that were dropped because all together held too much memory.',
    registers: [this.registry],
  });

  readonly connectionsRefused = new Counter({
    name: 'heatherledge_gateway_connections_refused_total',
    help: 'Connections that callers or peers opened and that were closed at a limit or as slow, by reason.',
    labelNames: ['side', 'reason'] as const,
    registers: [this.registry],
  });

  readonly guardedConnections = new Gauge({
    name: 'heatherledge_gateway_open_connections',
    help: 'Open connections that callers or peers opened.',
    labelNames: ['side'] as const,
    registers: [this.registry],
  });

  readonly heldBytes = new Gauge({
    name: 'heatherledge_gateway_held_bytes',
    help: 'Memory charged for callers, peers and replies of members, in bytes.',
    labelNames: ['holder'] as const,
    registers: [this.registry],
  });

  readonly memberConnections = new Counter({
    name: 'heatherledge_gateway_member_connections_total',
    help: 'Connections opened to members, by outcome.',
    labelNames: ['outcome'] as const,
    registers: [this.registry],
  });

  readonly forwardedRequests = new Counter({
    name: 'heatherledge_gateway_forwarded_requests_total',
    help: 'Requests sent to the hosts of members, by outcome.',
    labelNames: ['outcome'] as const,
    registers: [this.registry],
  });

  readonly slotRejections = new Counter({
    name: 'heatherledge_gateway_slot_rejections_total',
    help: 'Requests rejected at the queues of the members that this instance hosts, by class and cause.',
    labelNames: ['class', 'cause'] as const,
    registers: [this.registry],
  });

  readonly slotWaitSeconds = new Histogram({
    name: 'heatherledge_gateway_slot_wait_seconds',
    help: 'Wait of the admitted requests for a slot of a member, by class, in seconds.',
    labelNames: ['class'] as const,
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  readonly slotQueueLength = new Histogram({
    name: 'heatherledge_gateway_slot_queue_length',
    help: 'Statements that waited for the member when a request was rejected, by class and cause.',
    labelNames: ['class', 'cause'] as const,
    buckets: QUEUE_LENGTH_BUCKETS,
    registers: [this.registry],
  });

  readonly primaryChanges = new Counter({
    name: 'heatherledge_gateway_primary_changes_total',
    help: 'Changes of primary that this instance carried out, by outcome.',
    labelNames: ['outcome'] as const,
    registers: [this.registry],
  });

  readonly homeRefusals = new Counter({
    name: 'heatherledge_gateway_home_refusals_total',
    help: 'Operations refused or aborted because of their allowed regions, by reason.',
    labelNames: ['reason'] as const,
    registers: [this.registry],
  });

  readonly storeEra = new Gauge({
    name: 'heatherledge_gateway_store_era',
    help: 'Era of the store whose contents this instance holds; rises when the store returns from an older copy.',
    registers: [this.registry],
  });

  readonly evacuatedDomains = new Gauge({
    name: 'heatherledge_gateway_evacuated_domains',
    help: 'Failure domains whose evacuation is in force on this instance.',
    registers: [this.registry],
  });

  readonly evacuationRefusals = new Counter({
    name: 'heatherledge_gateway_evacuation_refusals_total',
    help: 'Requests refused because the failure domain of their member is evacuated, by access.',
    labelNames: ['access'] as const,
    registers: [this.registry],
  });

  readonly memberLimit = new Gauge({
    name: 'heatherledge_gateway_member_limit',
    help: 'Statements that may run at once at a member that this instance sends to, if adaptive.',
    labelNames: ['member'] as const,
    registers: [this.registry],
  });

  readonly coldMembers = new Gauge({
    name: 'heatherledge_gateway_cold_members',
    help: 'Members that started recently and get only a limited number of statements.',
    registers: [this.registry],
  });

  readonly coldRefusals = new Counter({
    name: 'heatherledge_gateway_cold_refusals_total',
    help: 'Statements refused because a cold member would not get them in time.',
    registers: [this.registry],
  });

  readonly sessions = new Gauge({
    name: 'heatherledge_gateway_sessions',
    help: 'Callers connected.',
    registers: [this.registry],
  });

  /** Updates gauges that are read rather than set; called before the metrics are sent. */
  onCollect: () => void = () => {};

  private server: Server | undefined;

  /**
   * Serves the metrics and the state dump over HTTP.
   *
   * @param host - address to listen on
   * @param port - port to listen on
   * @param describe - returns the state of the process, which is sent as JSON
   */
  async serve(host: string, port: number, describe: () => unknown): Promise<void> {
    const server = createServer((request, response) => {
      if (STATE_PATHS.has(request.url ?? '')) {
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(describe()));
        return;
      }
      this.onCollect();
      void this.registry.metrics().then((text) => {
        response.setHeader('content-type', this.registry.contentType);
        response.end(text);
      });
    });
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Stops listening. */
  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }
}

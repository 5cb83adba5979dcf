import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

const REQUEST_DURATION_BUCKETS_S = [
  0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10,
];

/** Prometheus metrics of one instance; docs/METRICS.md lists them. */
export class Metrics {
  readonly registry = new Registry();

  /** Requests by how they were served. */
  readonly served = new Counter({
    name: 'heatherledge_requests_total',
    help: 'Requests by how they were served.',
    labelNames: ['event'] as const,
    registers: [this.registry],
  });

  readonly errors = new Counter({
    name: 'heatherledge_errors_total',
    help: 'Errors told to callers, by name in the catalogue.',
    labelNames: ['error'] as const,
    registers: [this.registry],
  });

  readonly requestSeconds = new Histogram({
    name: 'heatherledge_request_seconds',
    help: 'Time from a request to the end of its answer, in seconds.',
    buckets: REQUEST_DURATION_BUCKETS_S,
    registers: [this.registry],
  });

  readonly sessions = new Gauge({
    name: 'heatherledge_sessions',
    help: 'Callers connected.',
    registers: [this.registry],
  });

  readonly settingsAgeSeconds = new Gauge({
    name: 'heatherledge_settings_age_seconds',
    help: 'How long ago the settings were certainly the newest, in seconds; -1 if never.',
    registers: [this.registry],
  });

  readonly settingsInvalid = new Gauge({
    name: 'heatherledge_settings_invalid_paths',
    help: 'Paths whose stored value cannot be read or does not match its schema; they have no effect.',
    registers: [this.registry],
  });

  readonly settingsRevision = new Gauge({
    name: 'heatherledge_settings_revision',
    help: 'Revision of the settings in force.',
    registers: [this.registry],
  });

  readonly slots = new Gauge({
    name: 'heatherledge_slots',
    help: 'Slots of rates and connections held by this instance.',
    registers: [this.registry],
  });

  readonly peerBytes = new Gauge({
    name: 'heatherledge_peer_bytes',
    help: 'Bytes exchanged with other instances since the start.',
    labelNames: ['direction'] as const,
    registers: [this.registry],
  });

  readonly controlBytes = new Gauge({
    name: 'heatherledge_control_bytes',
    help: 'Bytes exchanged with database members by the watchers that run now.',
    registers: [this.registry],
  });

  readonly watchedGroups = new Gauge({
    name: 'heatherledge_watched_groups',
    help: 'Database groups that this instance watches.',
    registers: [this.registry],
  });

  readonly platformCalls = new Gauge({
    name: 'heatherledge_platform_calls',
    help: 'Calls of the platform since the start, by purpose.',
    labelNames: ['purpose'] as const,
    registers: [this.registry],
  });

  /** Events of the watchers of this instance, promotions among them. */
  readonly watcherEvents = new Counter({
    name: 'heatherledge_watcher_events_total',
    help: 'What the watchers of this instance saw or did.',
    labelNames: ['event'] as const,
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({ register: this.registry });
  }
}

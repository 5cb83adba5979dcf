import type { InstanceProcess } from './local-fleet.js';

/** Metrics of a running instance, each summed over its labels. */
export interface InstanceMetrics {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
  /** Memory on the JavaScript heap and memory outside it that its objects hold. */
  readonly heapBytes: number;
  readonly peerBytes: number;
  readonly controlBytes: number;
  readonly watchedGroups: number;
  readonly platformCalls: number;
}

/**
 * @param instance - a running instance
 * @returns its present metrics
 */
export async function readInstanceMetrics(instance: InstanceProcess): Promise<InstanceMetrics> {
  const response = await fetch(`http://127.0.0.1:${instance.adminPort}/metrics`);
  const text = await response.text();
  return {
    cpuSeconds: sumMetric(text, 'process_cpu_seconds_total'),
    residentBytes: sumMetric(text, 'process_resident_memory_bytes'),
    heapBytes:
      sumMetric(text, 'nodejs_heap_size_used_bytes') +
      sumMetric(text, 'nodejs_external_memory_bytes'),
    peerBytes: sumMetric(text, 'heatherledge_peer_bytes'),
    controlBytes: sumMetric(text, 'heatherledge_control_bytes'),
    watchedGroups: sumMetric(text, 'heatherledge_watched_groups'),
    platformCalls: sumMetric(text, 'heatherledge_platform_calls'),
  };
}

/** Sums the samples of one metric over all label sets. */
function sumMetric(text: string, name: string): number {
  let sum = 0;
  for (const line of text.split('\n')) {
    if (!line.startsWith(name) || !/^[ {]/.test(line.slice(name.length))) continue;
    sum += Number(line.slice(line.lastIndexOf(' ') + 1));
  }
  return sum;
}

/** A configuration like that of a small deployment, with one group and a route of each kind. */
export function createConfig({ version = 1, keys = ['key-a'], ratePerS = 100_000 } = {}) {
  const route = { timeoutMs: 800, targetLatencyMs: 400, priority: 1, backend: 'ledger' };
  return {
    version,
    routes: [
      { name: 'r1', database: 'latest', routeType: 'primary', ...route },
      {
        name: 'r2',
        database: 'bounded',
        routeType: 'bounded_staleness',
        maxStalenessMs: 1500,
        ...route,
      },
      { name: 'r3', database: 'own', routeType: 'read_own_writes', maxStalenessMs: 2500, ...route },
    ],
    backends: [{ name: 'ledger', maxConns: 16, syncReplicas: 1 }],
    limits: { txIdleMs: 3000 },
    tenants: [{ name: 'archive', apiKeys: keys, ratePerS, burst: ratePerS }],
  };
}

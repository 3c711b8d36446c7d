/** The configuration of a small deployment: routes of an application service and their tenant. */

export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

/** A route as the operator writes it. */
export function createRoute(name, fields) {
  return {
    Name: name,
    Host: HOST,
    PathPrefix: `/${name}/`,
    TimeoutMs: 3000,
    TargetLatencyMs: 300,
    MaxAttempts: 2,
    Public: false,
    Resumable: false,
    Priority: 2,
    ...fields,
  };
}

/** A version of the configuration. */
export function createConfiguration(version, routes, tenants = [{ Name: 'hule930', ApiKeys: [KEY] }]) {
  const names = [...new Set(routes.map(({ Service }) => Service))];
  return {
    Version: version,
    Routes: routes,
    Services: names.map((name) => ({ Name: name, HealthPath: '/health', MaxConns: 110 })),
    Limits: { MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 20000 },
    Tenants: tenants,
  };
}

/** The libraries have types for their entry points only; these declare the modules that are loaded on their own. */
declare module 'undici/lib/dispatcher/client.js' {
  const client: unknown;
  export default client;
}
declare module 'undici/lib/api/api-request.js' {
  const sendRequest: unknown;
  export default sendRequest;
}
declare module 'prom-client/lib/counter.js' {
  import type { Counter } from 'prom-client';
  const counter: typeof Counter;
  export default counter;
}
declare module 'prom-client/lib/gauge.js' {
  import type { Gauge } from 'prom-client';
  const gauge: typeof Gauge;
  export default gauge;
}
declare module 'prom-client/lib/histogram.js' {
  import type { Histogram } from 'prom-client';
  const histogram: typeof Histogram;
  export default histogram;
}
declare module 'prom-client/lib/registry.js' {
  import type { Registry } from 'prom-client';
  const registry: typeof Registry;
  export default registry;
}

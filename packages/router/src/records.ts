/**
 * Decoded records of a deployment: routes, services, teams, endpoints, and the metadata of requests and responses.
 * Times are in milliseconds, sizes in bytes.
 */

/** Whether a request may be sent again after a failure. */
export type RouteKind =
  /** May run more than once. */
  | 'repeatable'
  /** Runs at most once. */
  | 'once'
  /** Its response is a stream of events; runs at most once unless the route is resumable. */
  | 'stream';

/** One service of a route, and its share of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets of the route. */
  readonly weight: number;
}

/** How requests of one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request may take in the router. */
  readonly timeoutMs: number;
  /** Time within which the response (of a stream, the first event) should arrive. */
  readonly targetLatencyMs: number;
  /** Maximum number of endpoints to which one request may be sent. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Needs no API key. */
  readonly isPublic: boolean;
  /** A broken stream may be resumed at another endpoint after the last event that was received. */
  readonly isResumable: boolean;
  /** Regions whose endpoints may serve its requests; absent if all may. */
  readonly allowedRegions?: readonly string[] | undefined;
  /** How urgent its requests are: 0 is the most urgent; absent if the operators do not say. */
  readonly priority?: number | undefined;
}

/** Load that endpoints of a service sustain until they have warmed up. */
export interface ColdStart {
  /** Requests per second that a cold endpoint sustains, from all boxes together. */
  readonly perS: number;
  /** How long an endpoint is cold after its start. */
  readonly startMs: number;
}

/** A set of endpoints that serve the same requests. */
export interface Service {
  readonly name: string;
  /** Connections that each endpoint accepts from all boxes together. */
  readonly maxConnections: number;
  /** Whether its endpoints can fetch cached prompts from each other. */
  readonly canMoveCache: boolean;
  /**
   * Whether its endpoints are model engines, which keep the prompts that they have read. Requests to others have no prompt,
   * whatever their headers contain. Undefined in configurations from boxes of earlier versions.
   */
  readonly isEngine?: boolean | undefined;
  /** Absent if an endpoint sustains its full load from its start. */
  readonly coldStart?: ColdStart | undefined;
}

/** A customer with its API keys. */
export interface Team {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Regions whose endpoints may serve its requests; absent if all may. */
  readonly allowedRegions?: readonly string[] | undefined;
  /** How urgent its requests are; goes before the priority of the route. Absent if the operators do not say. */
  readonly priority?: number | undefined;
}

/** Limits for requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The complete configuration of the operators; always applied as a whole. */
export interface FleetConfiguration {
  /** Never decreases. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined if callers need no API keys. */
  readonly teams: readonly Team[] | undefined;
  readonly limits: CallerLimits;
}

/** Entry that the platform publishes for one run of an endpoint. */
export interface ListedEndpoint {
  /** Identifies one run: an endpoint that restarts gets a new id. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly hall: string;
  /** Requests that it processes concurrently. */
  readonly slots: number;
  readonly state: 'live' | 'leaving';
  /** Remaining time for which it is cold, as of the time of the report; undefined if not reported. */
  readonly coldMs?: number | undefined;
  /** Start time of its process in Unix milliseconds; undefined if not reported. */
  readonly bornMs?: number | undefined;
  /**
   * Version of its software, which has no order; empty if its entry states none. Undefined if the entry was relayed by a box
   * of an earlier version, which drops it.
   */
  readonly softwareVersion?: string | undefined;
}

/** One part of a prompt; equal ids mean equal texts. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Metadata in the headers of a caller's request. */
export interface CallerRequest {
  readonly requestId: string;
  /** How long the caller will wait from now on; undefined if not stated. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Parts in order; the last one belongs to this request only. Empty for plain services. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller has received, if it takes up a stream. */
  readonly lastEventId?: string | undefined;
  /** Id of the request that brought the first event of the stream that the caller takes up. */
  readonly resumedRequestId?: string | undefined;
}

/** Load of an endpoint, as it reports it in a response. */
export interface LoadReport {
  /** Requests that it runs. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at present, relative to the usual time: 2.5 is two and a half times as long; undefined if not reported. */
  readonly pace: number | undefined;
}

/** Metadata in the headers of an endpoint's response. */
export interface ResponseMetadata {
  readonly requestId: string | undefined;
  /** Whether the response carries the seal of the endpoint that created it. */
  readonly isSealed: boolean;
  /** The endpoint confirms that the request did not run. */
  readonly isNotRun: boolean;
  /** Whether the endpoint announces that it is about to leave. */
  readonly isLeaving: boolean;
  /** Back-off that the endpoint requests from this router; undefined if it requests none. */
  readonly backOffMs: number | undefined;
  /** Rejections for lack of room that the endpoint survives in a second; undefined if it states no limit. */
  readonly rejectionsPerS?: number | undefined;
  /** Load of the endpoint: `malformed` if the header cannot be read; undefined if there is none. */
  readonly load?: LoadReport | 'malformed' | undefined;
}

/** Metadata that the router adds to a request for one endpoint. */
export interface ForwardedMetadata {
  readonly deadlineMs: number;
  /** Id of the endpoint; any other one must refuse the request. */
  readonly endpointId: string;
  readonly team: string | undefined;
  /** Id of the event after which the stream is to be resumed. */
  readonly lastEventId: string | undefined;
  /** Endpoint (host:port) from which to fetch the cached part of the prompt. */
  readonly cacheSource: string | undefined;
  /** Urgency for the endpoint's own queue, 0 to 9; undefined if it makes no difference within the service. */
  readonly urgency?: number | undefined;
}

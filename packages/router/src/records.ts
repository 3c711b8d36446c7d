/**
 * What the router knows of a deployment, once decoded: routes, services, teams, endpoints, and what a caller asks.
 * Times are in milliseconds, sizes in bytes.
 */

/** What may be done with a request that did not end well. */
export type RouteKind =
  /** May run more than once. */
  | 'repeatable'
  /** Runs at most once. */
  | 'once'
  /** Answers with a stream of events; runs at most once unless the route is resumable. */
  | 'stream';

/** One service of a route, and its part of the route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Relative to the other targets of the route. */
  readonly weight: number;
}

/** How requests of one host and path prefix are handled. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that the router may hold a request. */
  readonly timeoutMs: number;
  /** Time within which an answer (the first event of a stream) is on time. */
  readonly targetLatencyMs: number;
  /** Most endpoints that one request may be sent to. */
  readonly maxAttempts: number;
  readonly targets: readonly RouteTarget[];
  /** Needs no key. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another endpoint after the last event seen. */
  readonly isResumable: boolean;
  /** Its requests may reach endpoints of these regions alone; absent where all may serve them. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** What endpoints of a service bear until they have warmed up. */
export interface ColdStart {
  /** Requests a second that one bears while it is cold, from all boxes together. */
  readonly perS: number;
  /** How long one is cold after its start. */
  readonly startMs: number;
}

/** A set of endpoints that answer the same requests. */
export interface Service {
  readonly name: string;
  /** Connections that one endpoint accepts from all boxes together. */
  readonly maxConnections: number;
  /** Whether its endpoints take cached prompts from each other. */
  readonly canMoveCache: boolean;
  /** Absent where an endpoint bears its full load from its start on. */
  readonly coldStart?: ColdStart | undefined;
}

/** A customer with the keys it may use. */
export interface Team {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Its requests may reach endpoints of these regions alone; absent where all may serve them. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operators' whole configuration; applied as one. */
export interface FleetConfiguration {
  /** Only grows. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined where callers need no keys. */
  readonly teams: readonly Team[] | undefined;
  readonly limits: CallerLimits;
}

/** What the platform publishes of one run of an endpoint. */
export interface ListedEndpoint {
  /** Names one run: an endpoint that starts again has a new id. */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly hall: string;
  /** Requests it works on at once. */
  readonly slots: number;
  readonly state: 'live' | 'leaving';
  /** How much longer it is cold, as of when it was told; undefined where it does not say. */
  readonly coldMs?: number | undefined;
  /** Start time of its process in Unix milliseconds; undefined if its entry does not state one. */
  readonly bornMs?: number | undefined;
}

/** One part of a prompt; the same id means the same text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the headers of a caller's request say. */
export interface CallerRequest {
  readonly requestId: string;
  /** Time that the caller will wait from now on; undefined if it does not say. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  /** Parts in order; the last is the request's own. Empty for plain services. */
  readonly promptParts: readonly PromptPart[];
}

/** What the head of an endpoint's answer says beside its status. */
export interface ResponseMetadata {
  readonly requestId: string | undefined;
  /** Whether it carries the seal of the endpoint that made it. */
  readonly isSealed: boolean;
  /** The endpoint vouches that the request did not run. */
  readonly isNotRun: boolean;
  /** Whether the endpoint announces that it is about to leave. */
  readonly isLeaving: boolean;
  /** How long the endpoint asks this router to send no requests; undefined if it does not ask. */
  readonly backOffMs: number | undefined;
}

/** What the router adds to a request for one endpoint. */
export interface ForwardedMetadata {
  readonly deadlineMs: number;
  /** Any other endpoint must refuse the request. */
  readonly endpointId: string;
  readonly team: string | undefined;
  /** The stream goes on after this event. */
  readonly lastEventId: string | undefined;
  /** Endpoint (host:port) from which to take what it holds of the prompt. */
  readonly cacheSource: string | undefined;
}

/**
 * Validated records of the values that the platform publishes: the box list, the endpoint list and the operators'
 * declared file.
 */

export type BoxId = string;
export type HallName = string;
export type EndpointId = string;
export type TeamName = string;
export type ServiceName = string;
export type ChatId = string;

/** Whether the platform lists a box or an endpoint as in service or as leaving. */
export type ListedState = 'live' | 'leaving';

/** One box (a machine of the router) of the box list. */
export interface BoxRecord {
  readonly id: BoxId;
  readonly hall: HallName;
  /** `host:port` on which the box accepts peers. */
  readonly peerAddress: string;
  readonly state: ListedState;
}

/** One endpoint (a back end) of the endpoint list. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly hall: HallName;
  /** `host:port` of its HTTP server. */
  readonly address: string;
  /** Names of the models or plain services that it serves. */
  readonly serves: readonly ServiceName[];
  readonly state: ListedState;
}

/** The box list with its version, which increases with every change. */
export interface BoxList {
  readonly version: number;
  readonly boxes: readonly BoxRecord[];
}

/** The endpoint list with its version, which increases with every change. */
export interface EndpointList {
  readonly version: number;
  readonly endpoints: readonly EndpointRecord[];
}

/** A team: a tenant of the fleet. */
export interface TeamDeclaration {
  readonly name: TeamName;
  /** Weight relative to the other teams when they compete for an endpoint. */
  readonly weight: number;
  /** Limit on the team's requests in flight over the whole region; no limit if absent. */
  readonly maxInFlight?: number | undefined;
}

/** Fields that services of every kind declare. */
interface ServiceCommon {
  readonly name: ServiceName;
  /** Limit on requests in flight at one endpoint; further requests are queued. */
  readonly maxInFlightPerEndpoint: number;
  /** Longest expected queueing time; a request that would wait longer is refused immediately. */
  readonly maxQueueMs: number;
  /** Time allowed for a request that sets no deadline. */
  readonly defaultDeadlineMs: number;
}

/** A model served by engines. */
export interface ModelDeclaration extends ServiceCommon {
  readonly kind: 'model';
  /** Largest load of one engine, as a multiple of the mean load (bounded-load hashing). */
  readonly loadBound: number;
}

/**
 * Whether calls of a plain service may be repeated.
 * `safe`: any number of times. `keyChecked`: the endpoint deduplicates by idempotency key. `never`: at most once.
 */
export type RepeatRule = 'safe' | 'keyChecked' | 'never';

/** A service that is not a model. */
export interface PlainServiceDeclaration extends ServiceCommon {
  readonly kind: 'plain';
  readonly repeat: RepeatRule;
}

/** Any service that requests can be routed to. */
export type ServiceDeclaration = ModelDeclaration | PlainServiceDeclaration;
/** Discriminator of a service declaration. */
export type ServiceKind = ServiceDeclaration['kind'];

/** The operators' declared file after validation. */
export interface Declaration {
  readonly revision: number;
  readonly deployment: string;
  readonly halls: readonly HallName[];
  readonly teams: readonly TeamDeclaration[];
  readonly services: readonly ServiceDeclaration[];
}

/** Names of the values that the platform publishes. */
export const VALUE_NAMES = ['declared', 'boxes', 'endpoints'] as const;
/** Name of a published value. */
export type ValueName = (typeof VALUE_NAMES)[number];

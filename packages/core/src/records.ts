/**
 * The records the platform publishes and the operators declare, as the core sees them once checked.
 * Sources: box list, endpoint list and declared file of the configuration service.
 */

export type BoxId = string;
export type HallName = string;
export type EndpointId = string;
export type TeamName = string;
export type ServiceName = string;
export type ChatId = string;

/** Whether the platform considers a machine or back end in service. */
export type ListedState = 'live' | 'leaving';

/** One machine of the box list. */
export interface BoxRecord {
  readonly id: BoxId;
  readonly hall: HallName;
  /** `host:port` on which the box accepts peers. */
  readonly peerAddress: string;
  readonly state: ListedState;
}

/** One back end of the endpoint list. */
export interface EndpointRecord {
  readonly id: EndpointId;
  readonly hall: HallName;
  /** `host:port` of its HTTP server. */
  readonly address: string;
  /** The models or plain services it serves. */
  readonly serves: readonly ServiceName[];
  readonly state: ListedState;
}

/** The box list with its own version, which only grows. */
export interface BoxList {
  readonly version: number;
  readonly boxes: readonly BoxRecord[];
}

/** The endpoint list with its own version, which only grows. */
export interface EndpointList {
  readonly version: number;
  readonly endpoints: readonly EndpointRecord[];
}

/** A customer. */
export interface TeamDeclaration {
  readonly name: TeamName;
  /** Share relative to the other teams when an endpoint is contended. */
  readonly weight: number;
  /** Requests in flight over the whole region; absent means no limit of its own. */
  readonly maxInFlight?: number | undefined;
}

/** What every service declares, whatever its kind. */
interface ServiceCommon {
  readonly name: ServiceName;
  /** Requests in flight at one endpoint beyond which the rest waits. */
  readonly maxInFlightPerEndpoint: number;
  /** Longest expected wait before a request is refused at once. */
  readonly maxQueueMs: number;
  /** Deadline of a request that names none. */
  readonly defaultDeadlineMs: number;
}

/** A model served by engines. */
export interface ModelDeclaration extends ServiceCommon {
  readonly kind: 'model';
  /** An engine carries at most this multiple of the mean load. */
  readonly loadBound: number;
}

/**
 * How calls of a plain service may be repeated.
 * `safe`: any number of times. `keyChecked`: the endpoint judges the key. `never`: at most once.
 */
export type RepeatRule = 'safe' | 'keyChecked' | 'never';

/** A plain service beside the engines. */
export interface PlainServiceDeclaration extends ServiceCommon {
  readonly kind: 'plain';
  readonly repeat: RepeatRule;
}

/** Anything a request can be routed to. */
export type ServiceDeclaration = ModelDeclaration | PlainServiceDeclaration;
/** Kind of a service. */
export type ServiceKind = ServiceDeclaration['kind'];

/** The operators' file once accepted. */
export interface Declaration {
  readonly revision: number;
  readonly deployment: string;
  readonly halls: readonly HallName[];
  readonly teams: readonly TeamDeclaration[];
  readonly services: readonly ServiceDeclaration[];
}

/** The values that the platform publishes. */
export const VALUE_NAMES = ['declared', 'boxes', 'endpoints'] as const;
/** Name of a published value. */
export type ValueName = (typeof VALUE_NAMES)[number];

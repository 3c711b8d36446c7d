/** What the choice of an endpoint depends on. */
import type { ColdStart, PromptPart } from '../records.js';

/** Properties of a request that placement depends on. */
export interface PlacementRequest {
  readonly service: string;
  readonly promptParts: readonly PromptPart[];
  /**
   * What endpoints of the service sustain until they have warmed up; absent if they sustain full load from the start.
   */
  readonly coldStart?: ColdStart | undefined;
  /** Lists of regions, each of which has to include that of the endpoint; several lists may apply to one request. */
  readonly allowedRegions?: readonly (readonly string[])[];
  /** Ids of endpoints that were tried already. */
  readonly excluded: ReadonlySet<string>;
  /** Software version that the endpoint must have, as it began the stream; absent if any may be chosen. */
  readonly softwareVersion?: string | undefined;
  /** Tag of the endpoint that has a slot for the request; absent if any endpoint may be chosen. */
  readonly grantedTag?: number | undefined;
}

/** Options of a box, and the inputs of its loop. */
import type { Problem, Result } from '@hazelwalk/core';
import type { CallerResourceLimits, MachineResources } from '@hazelwalk/http';
import type { FeatureSet } from './featureSwitches.js';
import type { HttpDialect } from './httpDialect.js';
import type { RouterFrame } from './peers/peerFrames.js';
import type { Reply } from './peers/peerMesh.js';
import type { Dial } from './proxy/dialTcp.js';
import type { FleetConfiguration } from './records.js';
import type { ColdBound } from './systems/coldEndpointLimiter.js';
import type { Publication } from './published/publishedState.js';
import type { ListPosition } from './published/listPosition.js';
import type { RetryBound } from './systems/retryBudget.js';

/** An input of the loop. */
export type RouterInput =
  | { readonly type: 'tick' }
  /** The platform published changes since the last publication. */
  | { readonly type: 'published'; readonly publication: Publication }
  /** The platform returned the configuration only. */
  | { readonly type: 'configurationPublished'; readonly text: string }
  /** A call to the platform failed. */
  | { readonly type: 'feedLost'; readonly reason: string }
  | { readonly type: 'peerFrame'; readonly frame: RouterFrame; readonly reply: Reply }
  /** The settings turn optional parts on or off. */
  | { readonly type: 'featuresChanged'; readonly features: FeatureSet }
  | { readonly type: 'stopRequested' }
  /** A step of the shutdown is due. */
  | { readonly type: 'stopDue' };

/** Options of a box. Times are in milliseconds. */
export interface FleetRouterOptions {
  readonly boxId: string;
  readonly hall: string;
  /** Region of each hall. */
  readonly regions: Readonly<Record<string, string>>;
  /** Bandwidth of the network link of the box. */
  readonly linkMbps: number;
  /** The machine of the box, and how much of it callers may take. */
  readonly machine: MachineResources;
  readonly callerResources: CallerResourceLimits;
  readonly callerAddress: { readonly host: string; readonly port: number };
  readonly peerAddress: { readonly host: string; readonly port: number };
  readonly seedAddresses: readonly string[];
  readonly retryBound: RetryBound;
  /** Limits the load of an endpoint that has just started. */
  readonly coldBound: ColdBound;
  /** Time within which a published change has to be in force. */
  readonly applyBoundMs: number;
  /** Interval at which endpoints write their entries; 1,200 if not given. */
  readonly entryHeartbeatMs?: number | undefined;
  /** Calls that the platform serves per second, for all boxes. */
  readonly platformReadsPerS: number;
  /**
   * Reads the changes after a position from the platform without waiting for any, and publishes them before it calls `onEnd`,
   * also if the call fails. Without it, no proof comes from this box.
   */
  readonly readChanges?: ((position: ListPosition, onEnd: () => void) => void) | undefined;
  /** Time after which a stopping process is killed. */
  readonly stopGraceMs: number;
  /** Optional parts that are on; all if not given. */
  readonly features?: FeatureSet | undefined;
  /** Connects to endpoints; by default over TCP. */
  readonly dialEndpoint?: Dial | undefined;
  readonly dialect: HttpDialect;
  /** Reads a published configuration. */
  readonly parseConfiguration: (text: string) => Result<FleetConfiguration, Problem>;
}

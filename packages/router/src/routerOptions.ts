/** What a box is given: its set-up, and the inputs that drive its loop. */
import type { Problem, Result } from '@hazelwalk/core';
import type { HttpDialect } from './httpDialect.js';
import type { RouterFrame } from './peers/peerFrames.js';
import type { FleetConfiguration } from './records.js';
import type { ColdBound } from './systems/coldEndpointLimiter.js';
import type { Publication } from './systems/publishedState.js';
import type { RetryBound } from './systems/retryBudget.js';

/** What drives the loop. */
export type RouterInput =
  | { readonly type: 'tick' }
  /** The platform told what is new since the last time. */
  | { readonly type: 'published'; readonly publication: Publication }
  /** The platform told the configuration alone. */
  | { readonly type: 'configurationPublished'; readonly text: string }
  | { readonly type: 'feedLost'; readonly reason: string }
  | { readonly type: 'peerFrame'; readonly frame: RouterFrame }
  | { readonly type: 'stopRequested' };

/** How a box is set up. Times in milliseconds. */
export interface FleetRouterOptions {
  readonly boxId: string;
  readonly hall: string;
  /** Region of each hall. */
  readonly regions: Readonly<Record<string, string>>;
  /** Bandwidth of the box's link. */
  readonly linkMbps: number;
  readonly callerAddress: { readonly host: string; readonly port: number };
  readonly peerAddress: { readonly host: string; readonly port: number };
  readonly seedAddresses: readonly string[];
  readonly retryBound: RetryBound;
  /** What may reach an endpoint that has just started. */
  readonly coldBound: ColdBound;
  /** A published change has to be in force after this. */
  readonly applyBoundMs: number;
  /** A stopping process is killed after this. */
  readonly stopGraceMs: number;
  readonly dialect: HttpDialect;
  /** Reads a published configuration. */
  readonly parseConfiguration: (text: string) => Result<FleetConfiguration, Problem>;
}

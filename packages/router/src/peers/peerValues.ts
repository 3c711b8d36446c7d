/**
 * Published values that boxes ask each other for: the configuration, since the platform may turn some boxes away while
 * it serves others, and the list of endpoints, for a box that does not follow the platform or cannot.
 */
import type { PublishedState } from '../systems/publishedState.js';
import type { FeedNotice, Heartbeat } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** A peer with newer values is asked for them at most this often: an answer takes some milliseconds. */
const ASK_MS = 400;
/** Most configurations come from the platform itself; peers are asked after this share of the time to apply one. */
const PATIENCE_SHARE = 1 / 6;
/** A larger configuration is read from the platform: links between boxes are thin, and one box may serve a hall. */
const MAX_PASSED_ON_CHARS = 16_384;

/** What this box has, and how it reaches its peers. */
export interface PeerValuesOptions {
  readonly mesh: PeerMesh;
  readonly state: PublishedState;
  readonly now: () => number;
  /** Time in which a change has to be in force. */
  readonly applyBoundMs: number;
}

/** Asks peers for newer values and answers such questions. */
export class PeerValues {
  private askedAtMs = -Infinity;
  /** Newest configuration that a peer has, and since when this box lacks it. */
  private heardVersion = 0;
  private lacksSinceMs = -Infinity;

  constructor(private readonly options: PeerValuesOptions) {}

  /** Asks the sender of a heartbeat for what it has newer and this box should have had by now. */
  noteHeartbeat(heartbeat: Heartbeat): void {
    const { state, now } = this.options;
    this.noteVersion(heartbeat.configurationVersion);
    const isOverdue = now() - this.lacksSinceMs >= this.patienceMs;
    const isNewer = heartbeat.configurationVersion > state.configurationVersion;
    // A box that knows nothing yet has nothing to wait for.
    const lacksConfiguration = isNewer && (isOverdue || !state.isInformed);
    const lacksEndpoints = !state.isFeedUp && heartbeat.endpointsRevision > state.endpointsRevision;
    this.ask(heartbeat.address, lacksConfiguration, lacksEndpoints);
  }

  /** Asks the box that follows the platform for what its notice did not hold. */
  noteNotice(notice: FeedNotice): void {
    const { state, now } = this.options;
    this.noteVersion(notice.configurationVersion);
    const isSmall = notice.configurationChars <= MAX_PASSED_ON_CHARS;
    const isOverdue = now() - this.lacksSinceMs >= this.patienceMs;
    const isNewer = notice.configurationVersion > state.configurationVersion;
    const lacksEndpoints = notice.from > state.endpointsRevision;
    this.ask(notice.address, isNewer && (isSmall || isOverdue), lacksEndpoints);
  }

  /**
   * Whether a newer configuration is known of and did not come from a peer. A box reads it before it asks peers for a
   * large one, hence half of the patience.
   */
  mustReadConfiguration(): boolean {
    const isLacking = this.heardVersion > this.options.state.configurationVersion;
    return isLacking && this.options.now() - this.lacksSinceMs >= this.patienceMs / 2;
  }

  /** Answers the question of a peer. */
  send(address: string, value: 'configuration' | 'endpoints'): void {
    const { mesh, state } = this.options;
    switch (value) {
      case 'configuration': {
        const { configurationVersion: version, configurationText: text } = state;
        if (version > 0) mesh.send(address, { type: 'configurationValue', version, text });
        return;
      }
      case 'endpoints':
        mesh.send(address, {
          type: 'endpointsValue',
          revision: state.endpointsRevision,
          endpoints: state.listEndpoints(),
        });
        return;
    }
  }

  private get patienceMs(): number {
    return this.options.applyBoundMs * PATIENCE_SHARE;
  }

  private noteVersion(version: number): void {
    const { state, now } = this.options;
    if (version <= Math.max(this.heardVersion, state.configurationVersion)) return;
    // Versions may follow each other faster than they arrive: the wait counts from the first that is missing.
    if (this.heardVersion <= state.configurationVersion) this.lacksSinceMs = now();
    this.heardVersion = version;
  }

  private ask(address: string, lacksConfiguration: boolean, lacksEndpoints: boolean): void {
    const { mesh, now } = this.options;
    const nowMs = now();
    if ((!lacksConfiguration && !lacksEndpoints) || nowMs - this.askedAtMs < ASK_MS) return;
    this.askedAtMs = nowMs;
    const question = { type: 'valueRequest', address: mesh.address } as const;
    if (lacksConfiguration) mesh.send(address, { ...question, value: 'configuration' });
    if (lacksEndpoints) mesh.send(address, { ...question, value: 'endpoints' });
  }
}

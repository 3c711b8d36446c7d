/**
 * Published values that boxes pass on: the configuration always, since the platform may turn some boxes away while it
 * serves others; the list of endpoints only to a box that cannot read the platform itself.
 */
import type { ListedEndpoint } from '../records.js';
import type { Heartbeat } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** A peer with newer values is asked for them at most this often: an answer takes some milliseconds. */
const ASK_MS = 400;

/** What this box has, and how it reaches its peers. */
export interface PeerValuesOptions {
  readonly mesh: PeerMesh;
  readonly now: () => number;
  /** Version 0 before the first configuration. */
  readonly readConfiguration: () => { readonly version: number; readonly text: string };
  readonly readEndpoints: () => { readonly revision: number; readonly endpoints: readonly ListedEndpoint[] };
  /** Whether the platform answers this box. */
  readonly isFeedUp: () => boolean;
}

/** Asks peers for newer values and answers such questions. */
export class PeerValues {
  private askedAtMs = -Infinity;

  constructor(private readonly options: PeerValuesOptions) {}

  /** Asks the sender of a heartbeat for what it has newer. */
  askForNewer(heartbeat: Heartbeat): void {
    const { options } = this;
    const nowMs = options.now();
    const lacksConfiguration = heartbeat.configurationVersion > options.readConfiguration().version;
    const lacksEndpoints =
      !options.isFeedUp() && heartbeat.endpointsRevision > options.readEndpoints().revision;
    if ((!lacksConfiguration && !lacksEndpoints) || nowMs - this.askedAtMs < ASK_MS) return;
    this.askedAtMs = nowMs;
    const question = { type: 'valueRequest', address: options.mesh.address } as const;
    if (lacksConfiguration) options.mesh.send(heartbeat.address, { ...question, value: 'configuration' });
    if (lacksEndpoints) options.mesh.send(heartbeat.address, { ...question, value: 'endpoints' });
  }

  /** Answers the question of a peer. */
  send(address: string, value: 'configuration' | 'endpoints'): void {
    const { options } = this;
    switch (value) {
      case 'configuration': {
        const { version, text } = options.readConfiguration();
        if (version > 0) options.mesh.send(address, { type: 'configurationValue', version, text });
        return;
      }
      case 'endpoints': {
        const { revision, endpoints } = options.readEndpoints();
        options.mesh.send(address, { type: 'endpointsValue', revision, endpoints: [...endpoints] });
        return;
      }
    }
  }
}

/** A virtual fleet, with the production code, whose boxes begin streams at endpoints of two software versions. */
import { createHasher } from '@hazelwalk/core';
import { createRandom } from '@hazelwalk/standins';
import { createListing } from '../../__fixtures__/createEndpoints.js';
import type { VirtualBox, VirtualProgram } from '../../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../../membership/__fixtures__/virtualFleet.js';
import type { RouterFrame } from '../../peers/peerFrames.js';
import { ListProofs } from '../../published/listProofs.js';
import type { PeerMesh, Reply } from '../../peers/peerMesh.js';
import { EndpointTable } from '../../tables/endpointTable.js';
import type { OriginResult } from '../originLookup.js';
import { OriginLookup } from '../originLookup.js';
import { SoftwareVersions } from '../softwareVersions.js';
import { StreamOrigins } from '../streamOrigins.js';
import { StreamTracker } from '../streamTracker.js';
import { VersionNotices } from '../versionNotices.js';

const RETENTION_MS = 30_000;
const SERVICE = 'llm';

/** The streams of one box. */
export class StreamProgram implements VirtualProgram {
  readonly table: EndpointTable;
  readonly origins = new StreamOrigins();
  readonly tracker: StreamTracker;
  readonly lookup: OriginLookup;
  readonly notices: VersionNotices;
  readonly proofs: ListProofs;
  private readonly versions: SoftwareVersions;
  /** Whether changes of the list reach this box. */
  isCurrent = true;

  constructor(
    box: VirtualBox,
    mesh: PeerMesh,
    hash: (text: string) => number,
    private readonly now: () => number,
  ) {
    this.table = new EndpointTable(hash);
    const { table, origins } = this;
    const readRetentionMs = (): number => RETENTION_MS;
    const startedAtMs = now();
    const readUnbrokenSinceMs = (): number => startedAtMs;
    this.versions = new SoftwareVersions({ table, now, readUnbrokenSinceMs, readRetentionMs });
    const { versions } = this;
    const position = { era: 1, revision: 1 };
    this.proofs = new ListProofs({
      mesh,
      readPosition: () => position,
      readProvenAtMs: () => now(),
      awaitsProof: () => false,
      readRole: () => 'follow',
      isFeedLost: () => false,
      listWatchers: () => [],
      readChanges: (_position, onEnd) => {
        if (!this.isCurrent) return;
        this.proofs.handleProven(now());
        onEnd();
      },
      requestList: () => {},
      onPeerProof: () => {},
      rank: hash,
      now,
      applyBoundMs: 2_000,
      readsPerS: 2_000,
    });
    const shared = { mesh, hall: box.hall, origins, versions, proofs: this.proofs, now, readRetentionMs };
    this.tracker = new StreamTracker({ ...shared, rank: hash });
    this.lookup = new OriginLookup(shared);
    this.notices = new VersionNotices({ ...shared, rank: hash });
  }

  handleFrame(frame: RouterFrame, reply: Reply): void {
    if (frame.type === 'streamOrigins') this.tracker.handleOrigins(frame);
    if (frame.type === 'streamLookup') this.lookup.handleLookup(frame, reply);
    if (frame.type === 'streamLookupReply') this.lookup.handleReply(frame);
    if (frame.type === 'versionNotice') this.notices.handleNotice(frame, reply);
    if (frame.type === 'versionNoticeAck') this.notices.handleAck(frame);
    if (frame.type === 'listProofRequest') this.proofs.handleRequest(frame, reply);
    if (frame.type === 'listProof') this.proofs.handleProof(frame);
  }

  tick(): void {
    const nowMs = this.now();
    this.versions.tick(nowMs);
    this.proofs.tick(nowMs);
    this.notices.tick(nowMs);
    this.tracker.tick(nowMs);
    this.lookup.tick(nowMs);
  }

  listLoads(): number[] {
    return [];
  }

  /** Lists endpoints with these software versions in place of all others. */
  list(versions: readonly string[]): void {
    for (const id of [...this.table.byId.keys()]) this.table.remove(id);
    for (const softwareVersion of versions)
      this.table.upsert(createListing(`${SERVICE}-${softwareVersion}`, { softwareVersion }), this.now());
  }
}

/** How callers who took streams up fared. */
export interface TakenUp {
  /** They went on at the version that began their stream. */
  right: number;
  wrong: number;
  /** They were refused. */
  unknown: number;
}

/** A fleet with streams. */
export class VirtualStreams {
  fleet!: VirtualFleet;
  private readonly programs = new WeakMap<VirtualBox, StreamProgram>();
  private readonly begun: { readonly key: number; readonly version: string; readonly box: VirtualBox }[] = [];
  private readonly random: () => number;

  private constructor(
    private readonly hash: (text: string) => number,
    private versions: readonly string[],
    seed: number,
  ) {
    this.random = createRandom(seed);
  }

  /** Creates a fleet whose boxes have listed these versions for as long as streams go on. */
  static async create(
    boxes: number,
    halls: number,
    seed: number,
    versions: readonly string[],
  ): Promise<VirtualStreams> {
    const hasher = await createHasher();
    const streams = new VirtualStreams((text) => hasher.h32(text), versions, seed);
    const createProgram = (box: VirtualBox, mesh: PeerMesh): VirtualProgram =>
      streams.createProgram(box, mesh);
    streams.fleet = await VirtualFleet.create({ boxes, halls, seed, createProgram });
    await streams.fleet.run(RETENTION_MS / 1_000 + 3);
    return streams;
  }

  findProgram(box: VirtualBox): StreamProgram {
    const program = this.programs.get(box);
    if (program === undefined) throw new Error(`no program at ${box.address}`);
    return program;
  }

  /** Lists versions at some boxes; boxes that start later list them too. */
  list(versions: readonly string[], boxes: readonly VirtualBox[] = this.fleet.listRunning()): void {
    this.versions = versions;
    for (const box of boxes) this.findProgram(box).list(versions);
  }

  /** Begins streams at random boxes of a list, each at a version that the box lists. */
  begin(count: number, boxes: readonly VirtualBox[] = this.fleet.listRunning()): void {
    for (let index = 0; index < count; index += 1) {
      const box = this.draw(boxes);
      const program = this.findProgram(box);
      const { listing } = this.draw([...program.table.byId.values()]);
      const version = listing.softwareVersion ?? '';
      const key = 1 + this.begun.length;
      program.tracker.recordFirstEvent(key, { service: SERVICE, softwareVersion: version });
      this.begun.push({ key, version, box });
    }
  }

  /** Callers take up the streams of some boxes at random ones of a list. */
  async takeUp(isTaken: (box: VirtualBox) => boolean, boxes: readonly VirtualBox[]): Promise<TakenUp> {
    const taken: TakenUp = { right: 0, wrong: 0, unknown: 0 };
    for (const { key, version } of this.begun.filter((stream) => isTaken(stream.box))) {
      const { lookup } = this.findProgram(this.draw(boxes));
      lookup.find({ key, service: SERVICE }, (result) => (taken[judge(result, version)] += 1));
      await this.fleet.run(0.005);
    }
    await this.fleet.run(1);
    return taken;
  }

  private draw<T>(items: readonly T[]): T {
    return items[Math.floor(this.random() * items.length)]!;
  }

  private createProgram(box: VirtualBox, mesh: PeerMesh): VirtualProgram {
    const program = new StreamProgram(box, mesh, this.hash, () => this.fleet.timeline.nowMs);
    this.programs.set(box, program);
    program.list(this.versions);
    return program;
  }
}

/** How a caller fared whose stream a version began. */
export function judge(result: OriginResult, version: string): keyof TakenUp {
  if (result.type === 'unknown') return 'unknown';
  return result.origin.softwareVersion === version ? 'right' : 'wrong';
}

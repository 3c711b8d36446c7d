/** The program that runs in each box of a virtual fleet that serves callers. */
import type { Hasher } from '@hazelwalk/core';
import { EndpointPaces } from '../capacity/endpointPaces.js';
import type { VirtualBox, VirtualProgram } from '../membership/__fixtures__/virtualFleet.js';
import { LoadRelay } from '../peers/loadRelay.js';
import { PaceRelay } from '../peers/paceRelay.js';
import type { Heartbeat, RouterFrame } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import { ColdEndpointLimiter } from '../systems/coldEndpointLimiter.js';
import { Evacuations } from '../published/evacuations.js';
import { listOwnLoads } from '../systems/loadExchange.js';
import type { LoadPath } from '../systems/loadCap.js';
import { Placement } from '../systems/placement.js';
import { PromptDemand } from '../systems/promptDemand.js';
import { PromptHolders } from '../systems/promptHolders.js';
import { EndpointTable } from '../tables/endpointTable.js';

/** Placement and load relay of one box. */
export class VirtualRouter implements VirtualProgram {
  readonly table: EndpointTable;
  readonly placement: Placement;
  readonly evacuations = new Evacuations();
  readonly relay: LoadRelay;
  readonly paces: EndpointPaces;

  constructor(
    box: VirtualBox,
    mesh: PeerMesh,
    hasher: Hasher,
    now: () => number,
    random: () => number,
    isPaceWeighted = false,
  ) {
    const { hall } = box;
    const hash = (text: string): number => hasher.h32(text);
    const promptHolders = new PromptHolders();
    const demand = new PromptDemand();
    this.table = new EndpointTable(hash);
    const onViewStatus = (): void => {};
    const { table } = this;
    this.paces = new EndpointPaces({
      table,
      isEnabled: () => isPaceWeighted,
      onChange: () => {},
      onClear: () => {},
    });
    this.relay = new LoadRelay({
      mesh,
      table,
      promptHolders,
      demand,
      paces: new PaceRelay(this.paces),
      hall,
      hash,
      random,
      now,
      onViewStatus,
    });
    const readLoadAgeMs = (): number => this.relay.readLoadAgeMs();
    const readLoadPath = (): LoadPath => (mesh.isFullMesh ? 'direct' : 'relayed');
    this.placement = new Placement({
      filterKnown: (_service, rows) => rows,
      table,
      hasher,
      hall,
      random,
      promptHolders,
      demand,
      evacuations: this.evacuations,
      findRegion: () => undefined,
      cold: new ColdEndpointLimiter({
        hall,
        hasher,
        bound: { factor: 1.5, allowance: 5 },
        startedAtMs: now(),
        hasJoinedFleet: () => mesh.hasJoinedFleet,
        readAddress: () => mesh.address,
        listHallPeers: () => mesh.listHallPeers(),
      }),
      readLoadPath,
      readLoadAgeMs,
    });
  }

  handleFrame(frame: RouterFrame): void {
    if (frame.type === 'heartbeat') this.relay.handleHeartbeat(frame);
    else if (frame.type === 'boxLoads') this.relay.handleBoxLoads(frame);
    else if (frame.type === 'hallLoads') this.relay.handleHallLoads(frame);
    else if (frame.type === 'fleetLoads') this.relay.handleFleetLoads(frame);
  }

  tick(): void {
    this.relay.tick();
  }

  createDemandReport(): Pick<Heartbeat, 'prompts' | 'paces'> {
    return { prompts: this.relay.takeDemandForHeartbeat(), ...this.relay.takePacesForHeartbeat() };
  }

  listLoads(): number[] {
    return listOwnLoads(this.table);
  }
}

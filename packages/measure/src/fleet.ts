/**
 * The engines of a run and the published endpoint list.
 */
import type { EndpointRecord, ListedState } from '@hazelwalk/core';
import type { Churn, Scenario } from './scenario.js';
import { SimulatedEngine } from './simulatedEngine.js';

/** All engines of a run and the listed state of each. */
export class EngineFleet {
  readonly engines = new Map<string, SimulatedEngine>();
  private readonly states = new Map<string, ListedState>();
  private version = 1;

  constructor(private readonly scenario: Scenario) {
    for (let index = 1; index <= scenario.engineCount; index += 1) this.join(index);
  }

  /** The engines that are listed as live. */
  get inService(): SimulatedEngine[] {
    return [...this.engines.values()].filter((engine) => this.states.get(engine.id) === 'live');
  }

  /** Applies a change of the endpoint list. */
  apply(change: Churn): void {
    this.version += 1;
    const id = toId(change.engine);
    switch (change.type) {
      case 'join':
        return this.join(change.engine);
      case 'leaving':
        return void this.states.set(id, 'leaving');
      case 'remove':
        return void this.states.delete(id);
    }
  }

  /** Formats the endpoint list as published. */
  writeList(): string {
    const endpoints = [...this.states].map(([id, state]): EndpointRecord => {
      const hall = this.scenario.halls[Number(id.slice(-2)) % this.scenario.halls.length] ?? '';
      return { id, hall, address: '127.0.0.1:1', serves: [this.scenario.model], state };
    });
    return JSON.stringify({ version: this.version, endpoints });
  }

  /** Lists an engine as live. An engine that rejoins keeps its cache: it was disconnected, not restarted. */
  private join(index: number): void {
    const id = toId(index);
    if (!this.engines.has(id)) this.engines.set(id, new SimulatedEngine(id, this.scenario.cacheChats));
    this.states.set(id, 'live');
  }
}

function toId(index: number): string {
  return `engine-${String(index).padStart(2, '0')}`;
}

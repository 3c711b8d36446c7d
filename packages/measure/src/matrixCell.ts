/**
 * Runs one cell of the fault matrix: brings a request to a step, injects a fault, and checks the guarantees against the runs that
 * the endpoints counted and the response that the caller received.
 */
import type { BoxHandle, DeploymentSpec, EndpointHandle } from '@hazelwalk/standins';
import { Deployment, DEPLOYMENTS, pause, waitFor } from '@hazelwalk/standins';

/** The progress of a request at which a fault is injected. */
export const STEPS = [
  'chat accepted',
  'chat dispatched',
  'chat first byte',
  'chat mid-stream',
  'chat answered',
  'booking accepted',
  'booking running',
  'booking answered',
] as const;
/** One of `STEPS`. */
export type Step = (typeof STEPS)[number];

/** Faults to inject, named as in the fault matrix. The steward in these names is the box that owns the endpoint of the request. */
export const FAULTS = [
  'kill entry',
  'kill steward',
  'freeze steward, wake',
  'stop steward',
  'kill endpoint',
  'endpoint leaving',
  'endpoint flapping',
  'platform down',
  'platform stale',
  'list drops steward',
  'kill steward + platform down',
  'cut of a box',
  'hall cut',
] as const;
/** One of `FAULTS`. */
export type Fault = (typeof FAULTS)[number];

/** Result of a cell. */
export type CellResult =
  | { readonly type: 'passed' }
  | { readonly type: 'failed'; readonly reasons: readonly string[] }
  | { readonly type: 'notRun'; readonly reason: string };

const TOKENS = 30;
const FREEZE_MS = 1_500;
const REQUEST_ID = 'cell-1';
const CHAT = 'cell';
const TEAM = 'hospital';

const SPEC: DeploymentSpec = {
  ...DEPLOYMENTS.lavanda,
  halls: ['mixco'],
  boxCount: 4,
  engineCount: 2,
  workerCount: 2,
  engineFlags: ['--tokens', String(TOKENS), '--tokenMs', '15', '--coldMs', '50'],
  workerFlags: ['--delayMs', '300'],
  boxFlags: ['--heartbeatMs', '200', '--leaseMs', '800'],
};

/** The fields of an endpoint in a box's status; `steward` is the id of the box that owns the endpoint, or null. */
interface EndpointView {
  readonly id: string;
  readonly steward: string | null;
}

/** Sends the request of a cell and records the response as it arrives. */
class Caller {
  text = '';
  status = 0;
  isDone = false;
  isBroken = false;

  async sendAndRecord(url: string, body: string): Promise<void> {
    try {
      const response = await fetch(url, {
        method: 'POST',
        headers: {
          'hazelwalk-team': TEAM,
          'hazelwalk-chat': CHAT,
          'x-request-id': REQUEST_ID,
          'hazelwalk-deadline-ms': '8000',
        },
        body,
      });
      this.status = response.status;
      const decoder = new TextDecoder();
      for await (const chunk of response.body ?? [])
        this.text += decoder.decode(chunk as Uint8Array, { stream: true });
    } catch {
      this.isBroken = true;
    }
    this.isDone = true;
  }

  /** Number of tokens received so far. */
  get tokens(): number {
    return this.text.match(/ t\d+/g)?.length ?? 0;
  }
}

/** A cell on a running deployment. */
class Cell {
  readonly caller = new Caller();
  private readonly isChat: boolean;

  constructor(
    private readonly deployment: Deployment,
    private readonly step: Step,
    private readonly fault: Fault,
    private readonly entry: BoxHandle,
    private endpoint: EndpointHandle,
    private owner: BoxHandle,
  ) {
    this.isChat = step.startsWith('chat');
  }

  async run(): Promise<string[]> {
    const responseDone = this.send();
    await waitFor(async () => this.hasReachedStep());
    await this.selectBookingWorker();
    await this.injectFault();
    await responseDone;
    if (this.fault === 'freeze steward, wake') this.owner.child.kill('SIGCONT');
    return [...(await this.checkRequest()), ...(await this.checkOthers())];
  }

  private send(): Promise<void> {
    const base = `http://${this.entry.caller}`;
    if (!this.isChat) return this.caller.sendAndRecord(`${base}/services/booking/pickups`, 'linen');
    const body = { model: SPEC.model, stream: true, messages: [{ role: 'user', content: 'hello' }] };
    return this.caller.sendAndRecord(`${base}/v1/chat/completions`, JSON.stringify(body));
  }

  private async hasReachedStep(): Promise<boolean> {
    switch (this.step) {
      case 'chat accepted':
      case 'booking accepted':
        return true;
      case 'chat dispatched':
      case 'booking running':
        return (await this.countRuns()) > 0;
      case 'chat first byte':
        return this.caller.tokens > 0;
      case 'chat mid-stream':
        return this.caller.tokens >= TOKENS / 2;
      case 'chat answered':
      case 'booking answered':
        return this.caller.isDone;
    }
  }

  /** Makes the worker that runs the booking, if one does, and its owner the targets of the fault. */
  private async selectBookingWorker(): Promise<void> {
    if (this.isChat) return;
    for (const endpoint of this.deployment.endpoints) {
      if ((await this.countRunsAt(endpoint)) === 0) continue;
      this.endpoint = endpoint;
      this.owner = await findOwner(this.deployment, endpoint);
    }
  }

  private async injectFault(): Promise<void> {
    const { deployment, owner, endpoint } = this;
    switch (this.fault) {
      case 'kill entry':
        return void (await deployment.endBox(this.entry, 'SIGKILL'));
      case 'kill steward':
        return void (await deployment.endBox(owner, 'SIGKILL'));
      case 'freeze steward, wake':
        owner.child.kill('SIGSTOP');
        return pause(FREEZE_MS);
      case 'stop steward':
        return void (await deployment.endBox(owner, 'SIGTERM'));
      case 'kill endpoint':
        return void endpoint.child.kill('SIGKILL');
      case 'endpoint leaving':
        endpoint.state = 'leaving';
        return deployment.publishEndpoints();
      case 'endpoint flapping':
        await deployment.publishEndpoints(deployment.endpoints.filter((other) => other !== endpoint));
        return deployment.publishEndpoints();
      case 'platform down':
        return deployment.setPlatformMode('down');
      case 'platform stale':
        return deployment.setPlatformMode('stale');
      case 'list drops steward':
        return deployment.publishBoxes(deployment.boxes.filter((other) => other !== owner));
      case 'kill steward + platform down':
        await deployment.setPlatformMode('down');
        return void (await deployment.endBox(owner, 'SIGKILL'));
      case 'cut of a box':
      case 'hall cut':
        return;
    }
  }

  /** Counts the runs of the request at all endpoints that are still reachable. */
  private async countRuns(): Promise<number> {
    const counts = await Promise.all(this.deployment.endpoints.map((endpoint) => this.countRunsAt(endpoint)));
    return counts.reduce((sum, count) => sum + count, 0);
  }

  private async countRunsAt(endpoint: EndpointHandle): Promise<number> {
    const path = endpoint.id.startsWith('engine') ? '/standin/stats' : '/standin/runs';
    try {
      const stats = (await (await fetch(`http://${endpoint.address}${path}`)).json()) as Record<
        string,
        Record<string, number>
      >;
      return (stats['runsByRequest'] ?? stats['runs'])?.[REQUEST_ID] ?? 0;
    } catch {
      return 0;
    }
  }

  private async checkRequest(): Promise<string[]> {
    const { caller } = this;
    const runs = await this.countRuns();
    const reportsNotRun = /"ran":"no"/.test(caller.text);
    const reasons: string[] = [];
    if (!this.isChat && runs > 1) reasons.push(`the booking ran ${runs} times`);
    if (reportsNotRun && runs > 0)
      reasons.push('the response reports that the request did not run, but it ran');
    if (this.isChat && caller.text.includes('[DONE]') && caller.tokens !== TOKENS)
      reasons.push('an incomplete response looks complete');
    const hasErrorCode = caller.text.includes('"code":');
    const isComplete =
      caller.status === 200 &&
      (this.isChat ? caller.text.includes('[DONE]') : caller.text.includes('confirmed'));
    const isEntryKilled = this.fault === 'kill entry';
    if (!isComplete && !hasErrorCode && !isEntryKilled)
      reasons.push(
        `neither a complete response nor an error with a code: ${caller.status} ${caller.text.slice(-80)}`,
      );
    const mustComplete = !['kill', 'freeze'].some((word) => this.fault.startsWith(word));
    if (mustComplete && !isComplete)
      reasons.push(
        `the response is incomplete, although this fault must not interrupt it: ${caller.text.slice(-120)}`,
      );
    return reasons;
  }

  /** Checks that another caller is served at another box within five seconds after the request of the cell has ended. */
  private async checkOthers(): Promise<string[]> {
    const other =
      this.deployment.boxes.find((box) => box !== this.entry && box !== this.owner) ??
      this.deployment.boxes[0];
    const isEndpointGone = this.fault.includes('endpoint') && !this.isChat;
    if (other === undefined || isEndpointGone) return [];
    const sendChat = async (): Promise<boolean> => {
      const response = await fetch(`http://${other.caller}/v1/chat/completions`, {
        method: 'POST',
        headers: { 'hazelwalk-team': TEAM, 'hazelwalk-chat': `${CHAT}-after` },
        body: JSON.stringify({ model: SPEC.model, stream: true, messages: ['x'], tokens: 2 }),
      });
      return (await response.text()).includes('[DONE]');
    };
    return waitFor(sendChat, 5_000).then(
      () => [],
      () => ['another caller is not served within 5 s'],
    );
  }
}

async function findOwner(deployment: Deployment, endpoint: EndpointHandle): Promise<BoxHandle> {
  const [box] = deployment.boxes;
  if (box === undefined) throw new Error('the deployment has no box');
  const { endpoints } = await deployment.readStatus<{ endpoints: EndpointView[] }>(box);
  const id = endpoints.find((other) => other.id === endpoint.id)?.steward;
  const owner = deployment.boxes.find((other) => other.id === id);
  if (owner === undefined) throw new Error(`no box of the deployment owns endpoint ${endpoint.id}`);
  return owner;
}

/** Finds the endpoint of the request: the first candidate for the chat, or the first worker for a booking. */
async function findEndpoint(deployment: Deployment, isChat: boolean): Promise<EndpointHandle> {
  const [box] = deployment.boxes;
  const query = new URLSearchParams({ model: SPEC.model, chat: CHAT });
  const response = await fetch(`http://${box?.admin}/v1/explain?${query}`);
  const { candidates } = (await response.json()) as { candidates: { id: string }[] };
  const id = isChat ? candidates[0]?.id : 'worker-01';
  const endpoint = deployment.endpoints.find((other) => other.id === id);
  if (endpoint === undefined) throw new Error(`the deployment has no endpoint ${id}`);
  return endpoint;
}

/** Runs a cell on its own deployment. */
export async function runCell(step: Step, fault: Fault): Promise<CellResult> {
  if (fault === 'cut of a box' || fault === 'hall cut') {
    return { type: 'notRun', reason: 'network cuts are not implemented' };
  }
  const deployment = await Deployment.start(SPEC);
  try {
    const endpoint = await findEndpoint(deployment, step.startsWith('chat'));
    const owner = await findOwner(deployment, endpoint);
    const workers = deployment.endpoints.filter(({ id }) => id.startsWith('worker'));
    const workerOwners = await Promise.all(workers.map((worker) => findOwner(deployment, worker)));
    const entry = deployment.boxes.find((box) => box !== owner && !workerOwners.includes(box));
    if (entry === undefined)
      throw new Error('every box owns the endpoint or a worker; the entry box must own neither');
    const reasons = await new Cell(deployment, step, fault, entry, endpoint, owner).run();
    return reasons.length === 0 ? { type: 'passed' } : { type: 'failed', reasons };
  } catch (error) {
    return { type: 'failed', reasons: [(error as Error).message] };
  } finally {
    await deployment.stop();
  }
}

/** Stand-in of clients: each request on a connection of its own, given up as PROTOCOL.md says. */
import { Buffer } from 'node:buffer';
import { request as httpRequest } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';
import { HOST, KEY, now } from './site.mjs';

const CHECK_MS = 10;
const FRONT_PORT = 8_227;

export class Clients {
  constructor(site) {
    this.site = site;
    this.sent = 0;
    this.requests = [];
  }

  /**
   * Sends one request; the returned object is filled as it goes on. `silenceMs` is the pause after which the client of a stream
   * gives up.
   */
  send(
    box,
    path,
    { deadlineMs, silenceMs = Infinity, isStream = false, body = 'hello', method = 'POST', headers = {} },
  ) {
    this.sent += 1;
    const id = `c${this.sent}-${Math.floor(Math.random() * 1e9).toString(36)}`;
    const call = { id, box: box.name, path, sentAt: now(), status: 0, result: 'open', body: '' };
    this.requests.push(call);
    this.site.log('sent', { id, box: box.name, path });
    const req = httpRequest({
      host: box.ip,
      port: FRONT_PORT,
      path,
      method,
      agent: false,
      headers: {
        Host: HOST,
        'Api-Key': KEY,
        'Hazelwalk-Request-Id': id,
        'Hazelwalk-Deadline-Ms': deadlineMs,
        ...(isStream && {
          'Hazelwalk-Model': 'm',
          'Hazelwalk-Token-Counts': '110,80',
          'Hazelwalk-Prompt-Prefix': `5c1e07a2:100,${Buffer.from(id).toString('hex')}:10`,
        }),
        ...headers,
      },
    });
    let lastAt = call.sentAt;
    call.done = new Promise((resolve) => {
      const finish = (result) => {
        if (call.result !== 'open') return;
        clearInterval(timer);
        call.result = result;
        call.endedAt = now();
        call.tookMs = call.endedAt - call.sentAt;
        this.site.log('ended', { id, result, status: call.status, tookMs: Math.round(call.tookMs) });
        resolve(call);
      };
      const timer = setInterval(() => {
        const at = now();
        if (at - call.sentAt >= deadlineMs) finish('gaveUp');
        else if (at - lastAt >= silenceMs) finish('silence');
        else return;
        req.destroy();
      }, CHECK_MS);
      req.on('error', (error) => finish(call.status === 0 ? `broken ${error.code}` : 'cut'));
      req.on('response', (res) => {
        call.status = res.statusCode;
        call.headers = res.headers;
        res.on('data', (chunk) => {
          lastAt = now();
          call.body += chunk;
        });
        res.on('error', () => finish('cut'));
        res.on('end', () => finish(res.complete ? 'whole' : 'cut'));
        res.on('close', () => finish('cut'));
      });
      req.end(method === 'GET' ? undefined : body);
    });
    return call;
  }
}

/** Stand-in of a client, as PROTOCOL.md describes it: one request and its answer. */
import { Buffer } from 'node:buffer';
import { Agent, request } from 'node:http';

let lastNumber = 0;

/** Returns an id that no other request of this process has. */
function nextRequestId() {
  lastNumber += 1;
  return `r${String(lastNumber).padStart(6, '0')}`;
}

/** A client with kept connections. */
export function createAgent() {
  return new Agent({ keepAlive: true });
}

/**
 * Sends a request to a box and records it; resolves with status, headers and body, or with the error that ended the connection.
 */
export async function sendRequest(
  site,
  box,
  { agent, method = 'POST', host, path, key, deadlineMs, body = '' },
) {
  const requestId = nextRequestId();
  site.record('sent', { request: requestId, box: box.name, method, path });
  const headers = {
    Host: host,
    'Hazelwalk-Request-Id': requestId,
    'Hazelwalk-Deadline-Ms': String(deadlineMs),
    'Api-Key': key,
    ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
  };
  const options = { host: box.ip, port: 8227, method, path, agent, headers };
  const answer = await exchange(options, method === 'GET' ? undefined : body);
  const { status, isWhole, error } = answer;
  site.record('answered', { request: requestId, status, isWhole, bytes: answer.body?.length, error });
  return { requestId, ...answer };
}

function exchange(options, body) {
  return new Promise((resolve) => {
    const req = request(options, (res) => {
      const chunks = [];
      res.on('data', (chunk) => chunks.push(chunk));
      res.on('error', () => {});
      res.on('close', () =>
        resolve({
          status: res.statusCode,
          headers: res.headers,
          isWhole: res.complete,
          body: Buffer.concat(chunks),
        }),
      );
    });
    req.on('error', (error) => resolve({ error: error.code ?? error.message }));
    req.end(body);
  });
}

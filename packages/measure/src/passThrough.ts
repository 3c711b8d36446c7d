#!/usr/bin/env node
/** Baseline for the daemon's processor time: a plain proxy of Node's `http` server and an `undici` client. */
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { pipeline } from 'node:stream';
import { Agent, request } from 'undici';

const target = process.argv[2] ?? '';
const agent = new Agent({ pipelining: 1 });

const server = createServer((req, res) => {
  if (req.url === '/cpu') {
    const { user, system } = process.cpuUsage();
    return void res.end(JSON.stringify({ cpuMs: (user + system) / 1_000 }));
  }
  const { host: _host, connection: _connection, ...headers } = req.headers;
  const body = req.method === 'GET' ? null : req;
  request(`http://${target}${req.url}`, {
    method: req.method as 'POST',
    headers,
    body,
    dispatcher: agent,
  }).then(
    (upstream) => {
      res.writeHead(upstream.statusCode, upstream.headers as Record<string, string>);
      pipeline(upstream.body, res, () => {});
    },
    () => res.destroy(),
  );
});

server.listen(0, '127.0.0.1', () => {
  const { port } = server.address() as AddressInfo;
  process.stdout.write(`${JSON.stringify({ address: `127.0.0.1:${port}` })}\n`);
});

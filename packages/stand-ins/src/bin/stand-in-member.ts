#!/usr/bin/env node
/** A stand-in member as a process: `stand-in-member FILE`, where FILE holds a MemberConfig. */
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { MemberConfig, MemberFaults } from '../member/member-config.js';
import { MemberServer } from '../member/member-server.js';

interface ProcessConfig extends MemberConfig {
  /** Port on which tests switch faults and read state. */
  readonly faultPort: number;
}

const config = JSON.parse(readFileSync(process.argv[2] ?? '', 'utf8')) as ProcessConfig;
const server = new MemberServer(config);
await server.start();

const control = createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    const text = Buffer.concat(chunks).toString('utf8');
    if (text !== '') Object.assign(server.member.faults, JSON.parse(text) as MemberFaults);
    const { status } = server.member;
    response.end(JSON.stringify({ status, peakSessions: server.peakSessions }));
  });
});
control.listen(config.faultPort, config.host);
process.stdout.write(`${JSON.stringify({ event: 'ready', member: config.id })}\n`);

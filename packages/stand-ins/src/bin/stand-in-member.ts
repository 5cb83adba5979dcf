#!/usr/bin/env node
/** Runs a stand-in member: `stand-in-member SETTINGS_FILE GROUP MEMBER [DATA_FILE]`. */
import { createServer } from 'node:http';
import type { MemberFaults } from '../member/member-config.js';
import { MemberServer } from '../member/member-server.js';
import { createMemberConfigs, type MemberGroupSettings } from '../settings/member-configs.js';
import { readSettingsByPath } from '../settings/seed-settings.js';

/** Offset from the member's port of the HTTP port that sets faults and returns the status. */
const FAULT_PORT_OFFSET = 200;

/** Faults to set; `silence` permanently drops what is received on the connections open now. */
type FaultRequest = Partial<MemberFaults> & { readonly silence?: boolean };

const [file = '', group = '', id = '', dataFile] = process.argv.slice(2);
const settings = readSettingsByPath(file);
const path = Object.keys(settings).find((name) => name.endsWith(`/groups/${group}`)) ?? '';
const configs = createMemberConfigs((settings[path] ?? { members: [] }) as MemberGroupSettings);
const config = configs.find((member) => member.id === id);
if (config === undefined) throw new Error(`no member ${id} in group ${group}`);

const server = new MemberServer({ ...config, dataFile });
await server.start();

const control = createServer((request, response) => {
  const chunks: Buffer[] = [];
  request.on('data', (chunk: Buffer) => chunks.push(chunk));
  request.on('end', () => {
    const text = Buffer.concat(chunks).toString('utf8');
    const { silence, ...faults } = JSON.parse(text === '' ? '{}' : text) as FaultRequest;
    Object.assign(server.member.faults, faults);
    if (silence) server.silenceSessions();
    const { status } = server.member;
    response.end(JSON.stringify({ status, peakSessions: server.peakSessions }));
  });
});
control.listen(config.port + FAULT_PORT_OFFSET, config.host);
process.stdout.write(`${JSON.stringify({ event: 'ready', member: config.id })}\n`);

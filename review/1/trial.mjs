import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { StandInGroup } from '../../platform/test/fixtures/stand-in-group.ts';
import { StandInStore } from '../../platform/test/fixtures/stand-in-store.ts';
import { Caller } from '../common/caller.mjs';
import { createConfig } from '../common/config.mjs';
import { Gateway, sleep, waitUntil } from '../common/gateway.mjs';
import { MemberEntries, PromotionApi } from '../common/platform.mjs';
import { Recorder } from '../common/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** With CUT=0 the replica reaches the store all the time, and only the other trouble remains. */
const HAS_CUT = process.env.CUT !== '0';
const ZONES = ['a', 'b', 'c'];
const PROMOTE_MS = 300;
/** New instances use their shares of the rates after this. */
const SETTLE_MS = 5500;
/** How long the replica m2 does not reach the store; the default length of `srv_cut`. */
const CUT_MS = 5000;
/** Time from the removal of its entry until the other replica receives nothing. */
const DEAF_AFTER_MS = 400;
/** Acknowledged writes in that time before the primary crashes. */
const WRITES_BEFORE_CRASH = 3;
const WRITE_PAUSE_MS = 15;
const END_MS = 14_000;

const recorder = new Recorder(process.argv[2]);
const folder = mkdtempSync(join(tmpdir(), 'review-1-'));
const store = new StandInStore();
const group = new StandInGroup('ledger');
const entries = new MemberEntries(store, group, ZONES);
const promotions = new PromotionApi(group, PROMOTE_MS, ({ id, holder, fence }) =>
  recorder.add(`promotion of ${id} ordered by ${holder} with token ${fence}`),
);
const gateways = [];
const acknowledged = [];
let sent = 0;
let isOver = false;
let isHealed = Promise.resolve();

async function startDeployment() {
  const storeAddress = await store.start();
  await group.start();
  const promotionAddress = await promotions.start();
  store.put('op/config', createConfig());
  entries.start();
  for (const zone of ZONES) {
    const name = `front-${zone}-1`;
    const host = '127.0.0.1';
    const gateway = new Gateway({
      name,
      host,
      zone,
      zones: ZONES,
      storeAddress,
      promotionAddress,
      folder,
    });
    await gateway.prepare();
    gateways.push(gateway);
  }
  for (const gateway of gateways) gateway.start();
  const areReady = async () => (await Promise.all(gateways.map((g) => g.isReady()))).every(Boolean);
  return waitUntil(areReady, 15_000);
}

/** A client that writes one item after the other. */
async function runWriter(gateway) {
  let caller;
  while (!isOver) {
    await sleep(WRITE_PAUSE_MS);
    if (caller === undefined || caller.isClosed) {
      caller = new Caller({ host: gateway.host, port: gateway.frontPort });
      await caller.start('latest', 'key-a');
    }
    sent += 1;
    const id = `w${sent}`;
    const sentAt = Date.now();
    const lines = await caller.query(id, `WRITE item-${sent} value-${sent}`);
    if (lines === undefined) caller.close();
    else if (lines[0].startsWith('COMPLETE ') && !lines[0].startsWith('COMPLETE -')) {
      acknowledged.push({ id, sentAt, at: Date.now(), answer: lines.join(' / ') });
    }
  }
  caller?.close();
}

/** Cuts the replica m2 off from the store and waits until its entry has been removed. */
async function cutReplicaOff(cutReplica) {
  entries.beat(cutReplica);
  entries.cutOff.add(cutReplica.id);
  recorder.add('m2 no longer reaches the store; it still receives and acknowledges commits');
  const cutAt = Date.now();
  isHealed = sleep(CUT_MS).then(() => {
    entries.cutOff.delete(cutReplica.id);
    entries.beat(cutReplica);
    recorder.add(`m2 reaches the store again after ${Date.now() - cutAt} ms`);
  });
  await waitUntil(async () => !entries.isListed(cutReplica), CUT_MS, 5);
  recorder.add('the entry of m2 is removed after three heartbeat intervals of silence');
}

/** The replica m2 loses its way to the store; then m3 receives nothing and the primary m1 crashes. */
async function runTrouble() {
  const [primary, cutReplica, deafReplica] = group.members;
  if (HAS_CUT) await cutReplicaOff(cutReplica);
  await sleep(DEAF_AFTER_MS);
  deafReplica.isReplicationBlocked = true;
  const deafAt = Date.now();
  recorder.add('m3 receives nothing');
  const countSince = () => acknowledged.filter(({ at }) => at > deafAt).length;
  await waitUntil(async () => countSince() >= WRITES_BEFORE_CRASH, 3000, 5);
  primary.stop();
  recorder.add(
    `m1, the primary, crashes; ${countSince()} writes were acknowledged since m3 is deaf`,
  );
  await isHealed;
}

/** Writes that their client was told to have succeeded and that the promoted member lacks. */
function listLost() {
  const ids = new Set(group.lostCommits.flatMap(({ requests }) => requests));
  return acknowledged.filter(({ id }) => ids.has(id));
}

function recordLost({ id, sentAt, at, answer }) {
  const run = group.runs.find((each) => each.id === id);
  const seconds = ((at - recorder.startedAt) / 1000).toFixed(3);
  recorder.add(
    `${id}: run by ${run?.member}, answered after ${at - sentAt} ms, at ${seconds} s: ${answer}`,
  );
}

async function runTrial() {
  if (!(await startDeployment())) {
    recorder.add('the gateways did not become ready');
    return 2;
  }
  await sleep(SETTLE_MS);
  recorder.add(`3 gateways ready, trouble: ${HAS_TROUBLE}`);
  const startedAt = Date.now();
  const writer = runWriter(gateways[0]);
  await sleep(1500);
  if (acknowledged.length === 0) return 2;
  if (HAS_TROUBLE) await runTrouble();
  await waitUntil(async () => group.promotions.length > 0, END_MS - (Date.now() - startedAt));
  await sleep(1500);
  isOver = true;
  await Promise.race([writer, sleep(7000)]);
  const lost = listLost();
  recorder.add(
    `${sent} writes sent, ${acknowledged.length} acknowledged, ${group.runs.length} statements run`,
  );
  recorder.add(`promoted: ${group.promotions.join(', ') || 'none'}`);
  lost.forEach(recordLost);
  recorder.add(
    lost.length > 0
      ? `LOST: acknowledged to the client, not in the log of the promoted member: ${lost.map(({ id }) => id).join(', ')}`
      : 'the rule held',
  );
  if (HAS_TROUBLE && group.promotions.length === 0) recorder.add('no member was promoted');
  return lost.length > 0 ? 1 : 0;
}

function endAll() {
  for (const gateway of gateways) gateway.stop();
  entries.stop();
  promotions.stop();
  group.stop();
  store.stop();
  recorder.write();
  if (process.env.KEEP === undefined) rmSync(folder, { recursive: true, force: true });
}

runTrial().then(
  (code) => {
    endAll();
    process.exit(code);
  },
  (error) => {
    recorder.add(`failed: ${error.stack}`);
    endAll();
    process.exit(2);
  },
);

/** Settings: sample files are valid, and errors name every invalid key. */
import { readdirSync, writeFileSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import test from 'ava';
import { loadSettings } from '../src/settings/load-settings';
import { agentSchema, settingsSchema } from '../src/settings/settings-schema';

const EXAMPLES = resolve(__dirname, '../../examples');

test('every sample settings file is valid', (t) => {
  const files = readdirSync(EXAMPLES).filter((file) => file.endsWith('.yaml'));
  t.true(files.length >= 4);
  for (const file of files) {
    const loaded = loadSettings(join(EXAMPLES, file), settingsSchema);
    t.true(loaded.ok, loaded.err ? loaded.val.describe() : '');
  }
});

test('invalid and unknown keys are named with path, file and allowed values', (t) => {
  const file = join(mkdtempSync(join(tmpdir(), 'hallhold-settings-')), 'agent.yaml');
  writeFileSync(
    file,
    'role: agent\nservice: live-map\ntarget: T1\nprotocol: tcp\nlisten: somewhere\nadmin: 127.0.0.1:1\n' +
      'backend: 127.0.0.1:2\nbalancers: []\nkeys: [{ id: 1, secret: short }]\ncolour: blue\n',
  );
  const loaded = loadSettings(file, agentSchema);
  t.true(loaded.err);
  const details = loaded.err ? loaded.val.details.join('\n') : '';
  t.is(loaded.err && loaded.val.resultCode.number, 1_002);
  for (const expected of [
    /agent\.yaml: target: must be lower-case/,
    /agent\.yaml: protocol: .*\(allowed: datagram, coap\)/,
    /agent\.yaml: listen: must be an IPv4 address with a port/,
    /agent\.yaml: balancers: /,
    /agent\.yaml: keys\.0\.secret: /,
    /colour/,
  ]) {
    t.regex(details, expected);
  }
});

test('a missing file is error 1001, flags override the file', (t) => {
  const missing = loadSettings('/no/such/file.yaml', agentSchema);
  t.is(missing.err && missing.val.resultCode.number, 1_001);
  const sample = join(EXAMPLES, 'map-agent.yaml');
  const loaded = loadSettings(sample, agentSchema, { target: 'target-5', listen: undefined });
  t.is(loaded.unwrap().target, 'target-5');
});

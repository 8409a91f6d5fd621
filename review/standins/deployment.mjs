/** A small deployment on loopback addresses: store, router, fronts, sides with targets, clients. */
import { createSocket } from 'node:dgram';
import { mkdtempSync, rmSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as wait } from 'node:timers/promises';
import { ClientHost } from './client.mjs';
import { Program, readRoles } from './programs.mjs';
import { Store } from './store.mjs';
import { Target } from './target.mjs';

/** The bounds of a small deployment (PROTOCOL.md, DEPLOY.md, the site sheets). */
export const BOUNDS = {
  'seed-lag-s': 3,
  'reuse-delay-s': 2,
  'contact-ms': 4000,
  'ack-ms': 5000,
  'catch-up-s': 4,
  'drain-ms': 3000,
  'grace-s': 6,
  'loss-slack-ms': 200,
  'apply-ms': 3000,
  'revert-ms': 250,
  'skew-max-ms': 12000,
  'recovery-s': 12,
  'flow-ms': 2000,
  'flow-ttl-s': 60,
};
export const HEARTBEAT_MS = 1100;
/** Traffic starts some seconds after the machines do; by then all are in touch. */
const SETTLING_MS = 5000;
const START_LIMIT_MS = 20_000;
const PROBE_MS = 500;
const MISSED_PROBES = 2;

/** Thrown when a case cannot be judged. */
export class CannotRun extends Error {}

function tryPort(port) {
  const tcp = new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, '0.0.0.0', () => server.close(() => done(true)));
  });
  const udp = new Promise((done) => {
    const socket = createSocket('udp4');
    socket.once('error', () => done(false));
    socket.bind(port, '0.0.0.0', () => socket.close(() => done(true)));
  });
  return Promise.all([tcp, udp]).then((free) => free.every(Boolean));
}

async function findPorts(names) {
  const ports = {};
  let port = 20_000 + Math.floor(Math.random() * 30_000);
  for (const name of names) {
    while (!(await tryPort(port))) {
      port++;
    }
    ports[name] = port++;
  }
  return ports;
}

/** The platform's routers, `steady`: each flow goes to one of the nodes that are in. */
class Router {
  #socket = createSocket('udp4');
  #nodes = new Map();
  #timer;

  constructor(record, port) {
    this.record = record;
    this.port = port;
  }

  add(program, address, readyPort) {
    this.#nodes.set(program.name, { address, readyPort, missed: MISSED_PROBES, isIn: false });
  }

  start() {
    this.#timer = setInterval(() => this.#probeAll(), PROBE_MS);
  }

  close() {
    clearInterval(this.#timer);
    this.#socket.close();
  }

  isIn(name) {
    return this.#nodes.get(name).isIn;
  }

  /** The node that a flow of a client's port goes to now. */
  choose(key) {
    const all = [...this.#nodes];
    const inNodes = all.filter(([, { isIn }]) => isIn);
    const used = inNodes.length * 2 < all.length ? all : inNodes;
    const score = (name) =>
      [...`${key} ${name}`].reduce(
        (hash, character) => Math.imul(hash ^ character.charCodeAt(0), 16_777_619) >>> 0,
        2_166_136_261,
      );
    return used.reduce((best, one) => (score(one[0]) > score(best[0]) ? one : best));
  }

  forward(bytes) {
    const key = bytes.subarray(0, 12).toString('hex');
    const [, { address }] = this.choose(key);
    this.#socket.send(bytes, this.port, address);
  }

  #probeAll() {
    for (const [name, node] of this.#nodes) {
      this.#probe(node, (isReady) => {
        node.missed = isReady ? 0 : node.missed + 1;
        const isIn = isReady || (node.isIn && node.missed < MISSED_PROBES);
        if (isIn !== node.isIn) {
          node.isIn = isIn;
          this.record.write(`router: ${name} is ${isIn ? 'in' : 'out'}`);
        }
      });
    }
  }

  #probe({ address, readyPort }, done) {
    const options = { host: address, port: readyPort, path: '/hallhold/ready', agent: false };
    const call = get({ ...options, timeout: PROBE_MS }, (response) => {
      response.resume();
      done(response.statusCode === 200);
    });
    call.on('timeout', () => call.destroy(new Error('no answer')));
    call.on('error', () => done(false));
  }
}

export class Deployment {
  /** Address of the store that all fronts use; the sides use another one. */
  frontDoor;
  #folder = mkdtempSync(join(tmpdir(), 'hallhold-review-'));
  #subnet = `127.${64 + (process.pid % 128)}.${(process.pid >> 7) % 250}`;
  #programs = [];
  #targets = [];
  #clients = [];
  fronts = [];

  constructor({ root, record, bounds = BOUNDS }) {
    Object.assign(this, { root, record, bounds });
    this.roles = readRoles(root);
  }

  async start({ fronts, config }) {
    const names = ['control', 'ready', 'packet', 'outbound', 'app', 'frame', 'store'];
    this.ports = await findPorts([...names, 'frontStore']);
    this.store = new Store(this.record);
    await this.store.listen(this.#address(1), this.ports.store);
    this.frontDoor = await this.store.listen(this.#address(1), this.ports.frontStore);
    this.putConfig(config);
    this.router = new Router(this.record, this.ports.packet);
    this.seeds = fronts.slice(0, 3).map((_zone, index) => this.#control(10 + index));
    fronts.forEach((zone, index) => this.addFront(zone, index));
    this.router.start();
  }

  /** Writes a version of the configuration; the return is its acknowledgement. */
  putConfig(config) {
    this.store.put('config', 'main', config);
    this.record.write(`operator: version ${config.version} is acknowledged`);
  }

  addFront(zone, index) {
    const address = this.#address(10 + index);
    const node = `front-${zone}-${index + 1}`;
    const fields = this.#fields({ node, zone, address, class: 'front' });
    const front = this.#addProgram('balancer', fields);
    this.fronts.push(front);
    this.router.add(front, address, this.ports.ready);
    return front;
  }

  /** A side machine with its agent and its target; the target is started by the caller. */
  addSide({ number, zone, service, slots = 5, coldMs = 0 }) {
    const address = this.#address(30 + number);
    const node = `side-${zone}-${number}`;
    const app = `${address}:${this.ports.app}`;
    const fields = { ...this.#fields({ node, zone, address, class: 'side' }), service, app };
    const agent = this.#addProgram('agent', fields);
    const target = this.addTarget({ number, zone, service, slots, coldMs });
    return { agent, target };
  }

  /** A target at the address of a side machine; the caller starts it. */
  addTarget({ number, zone, service, slots = 5, coldMs = 0, id = `i-${service}-${number}` }) {
    const target = new Target({
      id,
      service,
      zone,
      address: this.#address(30 + number),
      ports: this.ports,
      slots,
      coldMs,
      record: this.record,
      heartbeatMs: HEARTBEAT_MS,
    });
    this.#targets.push(target);
    return target;
  }

  async addClients(number) {
    const host = new ClientHost({
      address: this.#address(100 + number),
      port: this.ports.packet,
      router: this.router,
      record: this.record,
    });
    await host.start();
    this.#clients.push(host);
    return host;
  }

  /** Waits until all fronts are in, and then until every machine is in touch. */
  async waitUntilServing() {
    const isReady = () => this.fronts.every(({ name }) => this.router.isIn(name));
    if (!(await this.waitUntil(isReady, START_LIMIT_MS))) {
      throw new CannotRun('the balancers are not ready');
    }
    await wait(SETTLING_MS);
  }

  /** Waits until a condition holds; false after the time given. */
  async waitUntil(condition, milliseconds) {
    const until = this.record.now() + milliseconds;
    while (!condition()) {
      if (this.record.now() > until) {
        return false;
      }
      await wait(20);
    }
    return true;
  }

  /** Ends everything that was started. */
  async end() {
    this.#clients.forEach((host) => host.close());
    this.#targets.forEach((target) => target.end());
    await Promise.all(this.#programs.map((program) => program.end()));
    this.router?.close();
    this.store?.close();
    if (process.env.KEEP_OUTPUT === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    } else {
      process.stdout.write(`output of the processes: ${this.#folder}\n`);
    }
  }

  #address(host) {
    return `${this.#subnet}.${host}`;
  }

  #control(host) {
    return `${this.#address(host)}:${this.ports.control}`;
  }

  #addProgram(role, fields) {
    const { root, record } = this;
    const program = new Program({
      root,
      record,
      fields,
      role: this.roles[role],
      folder: this.#folder,
    });
    this.#programs.push(program);
    program.start();
    return program;
  }

  #fields({ node, zone, address, class: machineClass }) {
    const at = (port) => `${address}:${this.ports[port]}`;
    return {
      node,
      zone,
      region: 'region-1',
      class: machineClass,
      ip: address,
      'port-range': [this.ports.frame, this.ports.frame],
      seeds: this.seeds,
      bootstrap: true,
      'heartbeat-ms': HEARTBEAT_MS,
      hash: 'steady',
      forwarding: 'agent',
      listen: {
        'packet-addr': at('packet'),
        ready: at('ready'),
        control: at('control'),
        outbound: machineClass === 'side' ? at('outbound') : undefined,
      },
      limits: { 'cpu-share': 0.675, cores: 1, 'link-mbps': 1000.0 },
      bounds: this.bounds,
      platform: {
        addr: `${this.#address(1)}:${this.ports[machineClass === 'front' ? 'frontStore' : 'store']}`,
      },
    };
  }
}

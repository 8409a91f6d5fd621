/** What a settings file may say, checked by zod. docs/SETTINGS.md explains each key. */
import { z } from 'zod';
import { parseEndpoint } from '../core/endpoint';

const KEY_ID_MAXIMUM = 255;
const SECRET_LENGTH_MINIMUM = 16;

const endpoint = z
  .string()
  .refine(
    (text) => parseEndpoint(text).ok,
    'must be an IPv4 address with a port, "127.0.0.1:7000"',
  );

const name = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be lower-case letters, digits, "-" or ".", 63 at most',
  );

const clusterKey = z.strictObject({
  id: z.number().int().min(0).max(KEY_ID_MAXIMUM),
  secret: z.string().min(SECRET_LENGTH_MINIMUM),
});

const log = z
  .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
  .default({ level: 'info' });

const protocol = z.enum(['datagram', 'coap']);

const common = {
  /** Where internal frames are received. */
  listen: endpoint,
  /** How others reach `listen`, when not at that address itself. */
  advertise: endpoint.optional(),
  /** Address of health, metrics and, on balancers, the operators' API. */
  admin: endpoint,
  keys: z.array(clusterKey).min(1).max(2),
  log,
};

/** Settings of a balancer process. */
export const balancerSchema = z.strictObject({
  role: z.literal('balancer'),
  name,
  zone: name,
  ...common,
  peers: z.array(endpoint).default([]),
  store: z.url({ protocol: /^https?$/ }),
  services: z.array(z.strictObject({ name, protocol, listen: endpoint })).min(1),
  learntFlows: z.number().int().min(1_000).default(100_000),
  quietSeconds: z.number().min(0).max(600).default(2),
});

/** Settings of an agent process. */
export const agentSchema = z.strictObject({
  role: z.literal('agent'),
  service: name,
  target: name,
  protocol,
  ...common,
  backend: endpoint,
  balancers: z.array(endpoint).min(1),
  flowIdleSeconds: z.number().min(1).max(86_400).default(300),
  requestDeadlineSeconds: z.number().min(0.1).max(600).default(10),
  loadPath: z.string().max(200).default(''),
  /** TCP address at which a successor on the same machine asks to take over. */
  handover: endpoint.optional(),
  stopAfterSeconds: z.number().min(0).max(86_400).default(30),
});

/** Any settings file. */
export const settingsSchema = z.discriminatedUnion('role', [balancerSchema, agentSchema]);

export type BalancerSettings = z.infer<typeof balancerSchema>;
export type AgentSettings = z.infer<typeof agentSchema>;
export type Settings = z.infer<typeof settingsSchema>;

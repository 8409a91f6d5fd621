/** Zod schemas of the settings files. docs/SETTINGS.md describes each key. */
import { z } from 'zod';
import { parseEndpoint } from '../core/endpoint';

const MAXIMUM_KEY_ID = 255;
const MINIMUM_SECRET_LENGTH = 16;

const endpointSchema = z
  .string()
  .refine(
    (text) => parseEndpoint(text).ok,
    'must be an IPv4 address with a port, "127.0.0.1:7000"',
  );

const nameSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be lower-case letters, digits, "-" or ".", 63 at most',
  );

const clusterKeySchema = z.strictObject({
  id: z.number().int().min(0).max(MAXIMUM_KEY_ID),
  secret: z.string().min(MINIMUM_SECRET_LENGTH),
});

const logSchema = z
  .strictObject({ level: z.enum(['debug', 'info', 'warn', 'error']).default('info') })
  .default({ level: 'info' });

const protocolSchema = z.enum(['datagram', 'coap']);

const commonSettings = {
  /** Address on which internal frames are received. */
  listen: endpointSchema,
  /** Address at which other processes reach this one, where it differs from `listen`. */
  advertise: endpointSchema.optional(),
  /** HTTP address of health, metrics and, on balancers, the operators' API. */
  admin: endpointSchema,
  keys: z.array(clusterKeySchema).min(1).max(2),
  log: logSchema,
};

/** Settings of a balancer process. */
export const balancerSchema = z.strictObject({
  role: z.literal('balancer'),
  name: nameSchema,
  zone: nameSchema,
  ...commonSettings,
  peers: z.array(endpointSchema).default([]),
  store: z.url({ protocol: /^https?$/ }),
  services: z
    .array(z.strictObject({ name: nameSchema, protocol: protocolSchema, listen: endpointSchema }))
    .min(1),
  learntFlows: z.number().int().min(1_000).default(100_000),
  quietSeconds: z.number().min(0).max(600).default(2),
});

/** Settings of an agent process. */
export const agentSchema = z.strictObject({
  role: z.literal('agent'),
  service: nameSchema,
  target: nameSchema,
  protocol: protocolSchema,
  ...commonSettings,
  backend: endpointSchema,
  balancers: z.array(endpointSchema).min(1),
  flowIdleSeconds: z.number().min(1).max(86_400).default(300),
  requestDeadlineSeconds: z.number().min(0.1).max(600).default(10),
  loadPath: z.string().max(200).default(''),
  /** TCP address at which a successor on the same machine requests a handover. */
  handover: endpointSchema.optional(),
  stopAfterSeconds: z.number().min(0).max(86_400).default(30),
});

/** Settings of either kind of process, distinguished by `role`. */
export const settingsSchema = z.discriminatedUnion('role', [balancerSchema, agentSchema]);

export type BalancerSettings = z.infer<typeof balancerSchema>;
export type AgentSettings = z.infer<typeof agentSchema>;
export type Settings = z.infer<typeof settingsSchema>;

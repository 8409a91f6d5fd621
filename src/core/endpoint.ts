/** Conversion between "127.0.0.1:5683" and the packed {@link Endpoint} integer. */
import { Ok, type Result } from 'ts-results';
import type { Endpoint } from '../environment';
import { createFailure, type HallholdError } from '../errors/hallhold-error';
import { ResultCodes } from '../errors/result-codes';

const PORT_RANGE = 65_536;
const OCTET_RANGE = 256;
const ENDPOINT_PATTERN = /^(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})$/;

/** Packs a dotted IPv4 address and port as a socket reports them; the input is trusted. */
export function packEndpoint(address: string, port: number): Endpoint {
  let packed = 0;
  let octet = 0;
  for (let index = 0; index < address.length; index++) {
    const character = address.charCodeAt(index);
    if (character === 46) {
      packed = packed * OCTET_RANGE + octet;
      octet = 0;
    } else {
      octet = octet * 10 + character - 48;
    }
  }
  return (packed * OCTET_RANGE + octet) * PORT_RANGE + port;
}

/** Parses "a.b.c.d:port"; any other form is an `addressInvalid` error. */
export function parseEndpoint(text: string): Result<Endpoint, HallholdError> {
  const parts = ENDPOINT_PATTERN.exec(text);
  const numbers = parts ? parts.slice(1).map(Number) : [];
  const port = numbers[4] ?? PORT_RANGE;
  const octetsValid = numbers.slice(0, 4).every((octet) => octet < OCTET_RANGE);
  if (!parts || !octetsValid || port >= PORT_RANGE) {
    return createFailure(
      ResultCodes.addressInvalid,
      `"${text}" is not an IPv4 address with a port`,
    );
  }
  return new Ok(packEndpoint(parts.slice(1, 5).join('.'), port));
}

/** The dotted IPv4 address of an endpoint. */
export function getEndpointAddress(endpoint: Endpoint): string {
  const address = Math.floor(endpoint / PORT_RANGE);
  return [address >>> 24, (address >>> 16) & 255, (address >>> 8) & 255, address & 255].join('.');
}

/** The port of an endpoint. */
export function getEndpointPort(endpoint: Endpoint): number {
  return endpoint % PORT_RANGE;
}

/** "a.b.c.d:port". */
export function formatEndpoint(endpoint: Endpoint): string {
  return `${getEndpointAddress(endpoint)}:${getEndpointPort(endpoint)}`;
}

/** First octet from which IPv4 addresses are multicast, reserved or broadcast. */
const FIRST_MULTICAST_OCTET = 224;

/** Whether a datagram can be sent to an endpoint of one host: neither port 0 nor such an address. */
export function isUnicastEndpoint(endpoint: Endpoint): boolean {
  const firstOctet = Math.floor(endpoint / (PORT_RANGE * OCTET_RANGE ** 3));
  return getEndpointPort(endpoint) > 0 && firstOctet > 0 && firstOctet < FIRST_MULTICAST_OCTET;
}

/** Heap measurement with forced full collections; needs no --expose-gc on the command line. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns the bytes in use after full collections: heap plus external buffers. */
export function measureBytesInUse(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

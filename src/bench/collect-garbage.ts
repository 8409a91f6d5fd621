/** Heap measurement: full collections on demand, without a flag on the command line. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Bytes in use after full collections: heap, and memory of buffers outside of it. */
export function measureBytesInUse(): number {
  collectGarbage();
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

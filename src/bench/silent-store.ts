/** A store that never answers, for benchmarks that apply their tables directly. */
import type { StorePort } from '../table-store/store-port';

export const SILENT_STORE: StorePort = {
  list: () => undefined,
  watch: () => ({ close: () => undefined }),
  read: () => undefined,
  write: () => undefined,
  listMachines: () => undefined,
};

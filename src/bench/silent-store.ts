/** A store that never answers, for benches whose tables are put in directly. */
import type { StorePort } from '../table-store/store-port';

export const SILENT_STORE: StorePort = {
  list: () => undefined,
  watch: () => ({ close: () => undefined }),
  read: () => undefined,
  write: () => undefined,
  listMachines: () => undefined,
};

import type { VmEntry, VmListResponse } from './types.js';

interface Version {
  readonly changedAtMs: number;
  readonly vms: ReadonlyMap<string, VmEntry>;
}

/** Stores versions of the VM list and makes each change visible after `lagMs`. */
export class VmListStore {
  private versions: Version[];

  private constructor(
    initial: readonly VmEntry[],
    public lagMs: number,
  ) {
    const vms = new Map(initial.map((vm) => [vm.vmId, vm]));
    this.versions = [{ changedAtMs: -Infinity, vms }];
  }

  /** Creates a list whose initial entries are visible immediately. */
  static create(initial: readonly VmEntry[], lagMs: number): VmListStore {
    return new VmListStore(initial, lagMs);
  }

  /** Adds entries; replaces those with the same id. */
  add(vms: readonly VmEntry[], nowMs: number): void {
    this.change(nowMs, (list) => vms.forEach((vm) => list.set(vm.vmId, vm)));
  }

  /** Marks entries as leaving; unknown ids are ignored. */
  markLeaving(vmIds: readonly string[], nowMs: number): void {
    this.change(nowMs, (list) =>
      vmIds.forEach((vmId) => {
        const vm = list.get(vmId);
        if (vm) list.set(vmId, { ...vm, state: 'leaving' });
      }),
    );
  }

  /** Removes entries; unknown ids are ignored. */
  remove(vmIds: readonly string[], nowMs: number): void {
    this.change(nowMs, (list) => vmIds.forEach((vmId) => list.delete(vmId)));
  }

  /** Returns the list that clients see at `nowMs`, without the changes of the last `lagMs`. */
  visible(nowMs: number): VmListResponse {
    const asOfMs = nowMs - this.lagMs;
    const version = this.versions.findLast(({ changedAtMs }) => changedAtMs <= asOfMs);
    return { asOfMs, vms: [...(version ?? this.versions[0]!).vms.values()] };
  }

  /** Returns the list with all changes, including those that clients cannot see yet. */
  latest(): readonly VmEntry[] {
    return [...this.versions.at(-1)!.vms.values()];
  }

  private change(nowMs: number, edit: (list: Map<string, VmEntry>) => void): void {
    const vms = new Map(this.versions.at(-1)!.vms);
    edit(vms);
    this.versions.push({ changedAtMs: nowMs, vms });
  }
}

/** Stream of keyed records that can be restored from a copy. */
export class RestorableStream<Change> {
  private records: { readonly key: string; readonly change: Change }[] = [];

  private copied: typeof this.records = [];

  era = 0;

  append(key: string, change: Change): void {
    this.records.push({ key, change });
  }

  copy(): void {
    this.copied = [...this.records];
  }

  restore(): void {
    this.records = [...this.copied];
    this.era += 1;
  }

  get nextOffset(): number {
    return this.records.length;
  }

  keyAt(offset: number): string {
    return this.records[offset]!.key;
  }

  readFrom(offset: number): { readonly change: Change; readonly offset: number }[] {
    return this.records.slice(offset).map(({ change }, index) => ({
      change,
      offset: offset + index,
    }));
  }

  readNewest(): { readonly change: Change; readonly offset: number }[] {
    return this.readFrom(0).filter(({ offset }) => {
      const { key } = this.records[offset]!;
      return this.records.findLastIndex((record) => record.key === key) === offset;
    });
  }
}

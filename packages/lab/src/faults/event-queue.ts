/** Events in order of time; the only clock of a cell. */
import { type Clock, type Milliseconds, toMilliseconds } from '@heatherledge/core';

interface QueuedEvent {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** Runs events one after another; two at the same time run in the order in which they were added. */
export class EventQueue implements Clock {
  private readonly heap: QueuedEvent[] = [];

  private time = 0;

  private nextOrder = 0;

  now(): Milliseconds {
    return toMilliseconds(this.time);
  }

  /**
   * @param delayMs - how long from now
   * @param run - what happens then
   */
  schedule(delayMs: number, run: () => void): void {
    this.push({ at: this.time + Math.max(0, delayMs), order: this.nextOrder, run });
    this.nextOrder += 1;
  }

  /** @param untilMs - runs all events up to this moment */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.at > untilMs) break;
      this.pop();
      this.time = next.at;
      next.run();
    }
    this.time = untilMs;
  }

  private push(event: QueuedEvent): void {
    this.heap.push(event);
    let index = this.heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) break;
      this.swap(index, parent);
      index = parent;
    }
  }

  private pop(): void {
    const last = this.heap.pop();
    if (this.heap.length === 0 || last === undefined) return;
    this.heap[0] = last;
    let index = 0;
    for (;;) {
      const smallest = this.findSmallest(index);
      if (smallest === index) return;
      this.swap(index, smallest);
      index = smallest;
    }
  }

  private findSmallest(index: number): number {
    let smallest = index;
    for (const child of [index * 2 + 1, index * 2 + 2]) {
      if (child < this.heap.length && this.isBefore(child, smallest)) smallest = child;
    }
    return smallest;
  }

  private isBefore(left: number, right: number): boolean {
    const a = this.heap[left] as QueuedEvent;
    const b = this.heap[right] as QueuedEvent;
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private swap(left: number, right: number): void {
    const { heap } = this;
    [heap[left], heap[right]] = [heap[right] as QueuedEvent, heap[left] as QueuedEvent];
  }
}

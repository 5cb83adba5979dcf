import { type Clock, type Milliseconds, toMilliseconds } from '@heatherledge/core';

interface QueuedEvent {
  readonly atMs: number;
  readonly sequence: number;
  readonly run: () => void;
}

/**
 * Manual clock and event queue of a simulation, kept in a binary heap. Events run in order of time;
 * events at the same time run in the order in which they were added.
 */
export class EventQueue implements Clock {
  private readonly heap: QueuedEvent[] = [];

  private currentMs = 0;

  private nextSequence = 0;

  now(): Milliseconds {
    return toMilliseconds(this.currentMs);
  }

  /**
   * Adds an event.
   *
   * @param delayMs - delay from the current time; a negative delay counts as 0
   * @param run - called when the clock reaches the event
   */
  schedule(delayMs: number, run: () => void): void {
    this.push({ atMs: this.currentMs + Math.max(0, delayMs), sequence: this.nextSequence, run });
    this.nextSequence += 1;
  }

  /**
   * Runs all events up to and including a time, then sets the clock to it.
   *
   * @param untilMs - the time
   */
  runUntil(untilMs: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.pop();
      this.currentMs = next.atMs;
      next.run();
    }
    this.currentMs = untilMs;
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
      const earliest = this.findEarliest(index);
      if (earliest === index) return;
      this.swap(index, earliest);
      index = earliest;
    }
  }

  private findEarliest(index: number): number {
    let earliest = index;
    for (const child of [index * 2 + 1, index * 2 + 2]) {
      if (child < this.heap.length && this.isBefore(child, earliest)) earliest = child;
    }
    return earliest;
  }

  private isBefore(left: number, right: number): boolean {
    const a = this.heap[left] as QueuedEvent;
    const b = this.heap[right] as QueuedEvent;
    return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
  }

  private swap(left: number, right: number): void {
    const { heap } = this;
    [heap[left], heap[right]] = [heap[right] as QueuedEvent, heap[left] as QueuedEvent];
  }
}

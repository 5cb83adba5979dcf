export * from './workload/caller.js';
export * from './workload/roaming-session.js';
export * from './faults/group/group-cells.js';
export * from './faults/group/group-history.js';
export * from './faults/group/guards.js';
export * from './faults/group/group-world.js';

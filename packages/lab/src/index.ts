export * from './workload/caller.js';
export * from './workload/roaming-session.js';

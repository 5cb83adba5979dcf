export * from './member/member-config.js';
export * from './member/member-server.js';
export * from './member/member.js';
export * from './member/replica-log.js';
export * from './settings/member-configs.js';
export * from './settings/seed-settings.js';
export * from './platform/key-value-store.js';
export * from './platform/platform-server.js';

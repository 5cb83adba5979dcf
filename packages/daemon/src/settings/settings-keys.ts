/** Prefix of the keys of all settings. */
export const SETTINGS_PREFIX = '/heatherledge/settings/';
/** Prefix of the keys that describe the settings; no settings path begins with a dot. */
export const DESCRIPTION_PREFIX = `${SETTINGS_PREFIX}.`;
/** Key that every change rewrites, so that its modification revision is the settings' revision. */
export const HEAD_KEY = `${DESCRIPTION_PREFIX}head`;
/** Key that names the history of the store and its era. */
export const ERA_KEY = `${DESCRIPTION_PREFIX}era`;
/** Prefix of the keys of accepted changes, by change id. */
export const AUDIT_PREFIX = '/heatherledge/audit/';

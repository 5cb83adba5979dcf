/** Name of a load shape: when and at which instances an organisation's requests arrive. */
export type LoadShape = 'steady' | 'skewed' | 'moving' | 'bursting' | 'overload' | 'cut-off';

/** All load shapes. */
export const LOAD_SHAPES: readonly LoadShape[] = [
  'steady',
  'skewed',
  'moving',
  'bursting',
  'overload',
  'cut-off',
];

/** Load of one organisation at one time. */
export interface OrganisationLoad {
  /** Arrival rate as a multiple of the organisation's rate. */
  readonly intensity: number;
  /** Index of the first instance at which requests arrive. */
  readonly firstInstance: number;
  /** Index of the last instance at which requests arrive. */
  readonly lastInstance: number;
}

const MOVE_INTERVAL_MS = 3000;
const BURST_INTERVAL_MS = 4000;
const BURST_DURATION_MS = 400;
const DOMAIN_COUNT = 3;

/**
 * Computes the load of an organisation.
 *
 * @param shape - load shape
 * @param organisationIndex - index of the organisation; those with a high rate come first
 * @param instanceCount - number of instances; instance i is in failure domain i modulo 3
 * @param nowMs - time since the load began
 * @returns the organisation's load at that time
 */
export function resolveLoad(
  shape: LoadShape,
  organisationIndex: number,
  instanceCount: number,
  nowMs: number,
): OrganisationLoad {
  const all = { firstInstance: 0, lastInstance: instanceCount - 1 };
  const instance = organisationIndex % instanceCount;
  switch (shape) {
    case 'skewed':
      return { intensity: 0.9, firstInstance: instance, lastInstance: instance };
    case 'moving': {
      const span = Math.max(1, Math.floor(instanceCount / DOMAIN_COUNT));
      const firstInstance =
        ((Math.floor(nowMs / MOVE_INTERVAL_MS) + organisationIndex) % DOMAIN_COUNT) * span;
      return {
        intensity: 0.9,
        firstInstance,
        lastInstance: Math.min(instanceCount - 1, firstInstance + span - 1),
      };
    }
    case 'bursting': {
      const phaseMs = (nowMs + organisationIndex * 500) % BURST_INTERVAL_MS;
      return {
        intensity: phaseMs < BURST_DURATION_MS ? 6 : 0.2,
        firstInstance: instance,
        lastInstance: instance,
      };
    }
    case 'overload':
      return { intensity: organisationIndex === 0 ? 5 : 0.9, ...all };
    default:
      return { intensity: 0.9, ...all };
  }
}

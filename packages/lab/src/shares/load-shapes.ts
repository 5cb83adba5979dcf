/** Shapes of load: when and where an organisation's requests arrive. */

/** Name of a shape. */
export type LoadShape = 'steady' | 'skewed' | 'moving' | 'bursting' | 'overload' | 'cut-off';

/** Every shape. */
export const LOAD_SHAPES: readonly LoadShape[] = [
  'steady',
  'skewed',
  'moving',
  'bursting',
  'overload',
  'cut-off',
];

/** Load of one organisation at one moment. */
export interface LoadMoment {
  /** Arrivals a second, relative to the organisation's rate. */
  readonly intensity: number;
  /** First and last instance at which they arrive. */
  readonly first: number;
  readonly last: number;
}

const MOVE_EVERY_MS = 3000;
const BURST_PERIOD_MS = 4000;
const BURST_MS = 400;
const DOMAIN_COUNT = 3;

/**
 * @param shape - the shape
 * @param organisation - number of the organisation; the first ones are the large ones
 * @param instances - number of instances; instance i stands in domain i modulo 3
 * @param now - moment, in milliseconds
 * @returns load of the organisation at that moment
 */
export function resolveLoad(
  shape: LoadShape,
  organisation: number,
  instances: number,
  now: number,
): LoadMoment {
  const all = { first: 0, last: instances - 1 };
  const home = organisation % instances;
  switch (shape) {
    case 'skewed':
      return { intensity: 0.9, first: home, last: home };
    case 'moving': {
      const span = Math.max(1, Math.floor(instances / DOMAIN_COUNT));
      const first = ((Math.floor(now / MOVE_EVERY_MS) + organisation) % DOMAIN_COUNT) * span;
      return { intensity: 0.9, first, last: Math.min(instances - 1, first + span - 1) };
    }
    case 'bursting': {
      const phase = (now + organisation * 500) % BURST_PERIOD_MS;
      return { intensity: phase < BURST_MS ? 6 : 0.2, first: home, last: home };
    }
    case 'overload':
      return { intensity: organisation === 0 ? 5 : 0.9, ...all };
    default:
      return { intensity: 0.9, ...all };
  }
}

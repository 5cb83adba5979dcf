import type { OrganisationId } from '@heatherledge/core';

/** An organisation of an experiment and the limit of its requests. */
export interface ExperimentOrganisation {
  readonly id: OrganisationId;
  readonly ratePerSecond: number;
  /** Maximum number of requests admitted at once, in tokens. */
  readonly burst: number;
}

/** Enforces the organisations' rates over many instances. */
export interface AdmissionStrategy {
  /** Starts the periodic work of the strategy, if it has any. */
  start(): void;
  /**
   * Decides on a request, now or later.
   *
   * @param instance - index of the instance at which the request arrives
   * @param organisation - organisation that the request belongs to
   * @param onDecision - called once with whether the request is admitted
   */
  requestAdmission(
    instance: number,
    organisation: ExperimentOrganisation,
    onDecision: (isAdmitted: boolean) => void,
  ): void;
  /** Number of calls to the platform's store so far. */
  readonly platformCalls: number;
}

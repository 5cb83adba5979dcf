/** Ways to keep an organisation's rate over many instances. */
import type { OrganisationId } from '@heatherledge/core';

/** An organisation of an experiment. */
export interface ExperimentOrganisation {
  readonly id: OrganisationId;
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** One way to keep the rates. */
export interface AdmissionStrategy {
  /** Starts whatever runs by itself. */
  start(): void;
  /**
   * @param instance - number of the instance at which the request arrives
   * @param organisation - whose request it is
   * @param settle - told once whether it may run
   */
  request(
    instance: number,
    organisation: ExperimentOrganisation,
    settle: (isAdmitted: boolean) => void,
  ): void;
  /** @returns calls of the platform so far */
  readonly platformCalls: number;
}

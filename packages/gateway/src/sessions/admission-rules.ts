import { type AdmissionRules, DEFAULT_LOAN_TIMINGS, toMilliseconds } from '@heatherledge/core';
import { DEFAULT_ADMISSION_RULES } from '@heatherledge/daemon';

/**
 * Admission rules of the gateway. A request beyond the rate is refused almost at once: it waits
 * only as long as a token loan may be in transit. Opening a link to an instance in another region
 * takes four round trips, 100 ms, and a loan request takes one.
 */
export const GATEWAY_ADMISSION_RULES: AdmissionRules = {
  ...DEFAULT_ADMISSION_RULES,
  loans: { ...DEFAULT_LOAN_TIMINGS, loanUnitTokens: 1 },
  maxWaitMs: toMilliseconds(300),
  maxWaitingRequests: 8,
  loanRequestTimeoutMs: toMilliseconds(250),
  // A lender behind a partition is silent for seconds, while the others have tokens.
  silentLenderDelayMs: toMilliseconds(2000),
  lateResponseMs: toMilliseconds(150),
  refusesUnservable: true,
};

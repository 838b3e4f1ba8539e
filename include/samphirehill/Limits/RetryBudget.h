// Bounds retries. Each pair of organisation and service earns a fraction of an
// attempt with every request and spends one attempt per retry, so that a
// failing service isn't loaded with retries.
#ifndef SAMPHIREHILL_LIMITS_RETRYBUDGET_H
#define SAMPHIREHILL_LIMITS_RETRYBUDGET_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <map>
#include <utility>

namespace samphirehill {

// Amounts are in hundredths of an attempt, which keeps the sums exact.
struct RetryBudgetSettings {
  int EarnedPerRequest = 8;
  int Initial = 100;
  int Maximum = 1000;
  Duration BackoffBase = milliseconds(20);
  Duration BackoffMaximum = seconds(1);
};

// Holds one number per pair that the configuration allows; pass only
// authenticated organisations and known services.
struct RetryBudgets {
  RetryBudgetSettings Settings;
  std::map<std::pair<OrganisationId, ServiceId>, int> Hundredths;
};

// Counts one new request. Retries and resumes of it don't count.
void earnRetry(RetryBudgets &Budgets, const OrganisationId &Organisation,
               const ServiceId &Service);

// Spends one attempt. Returns false, and spends nothing, if the budget is
// exhausted; the caller then answers RetryBudgetExhausted.
bool spendRetry(RetryBudgets &Budgets, const OrganisationId &Organisation,
                const ServiceId &Service);

// Returns the wait before retry number Attempt (from 0) with full jitter.
// UnitRandom is uniform in [0, 1).
Duration retryBackoff(const RetryBudgetSettings &Settings, int Attempt,
                      double UnitRandom);

} // namespace samphirehill

#endif // SAMPHIREHILL_LIMITS_RETRYBUDGET_H

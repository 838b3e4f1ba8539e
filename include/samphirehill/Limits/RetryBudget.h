// Retry budgets: bound the share of retries in the load. Each pair of
// organisation and service earns a fraction of an attempt with every new
// request and spends one attempt per retry, so that retries don't overload a
// failing service.
#ifndef SAMPHIREHILL_LIMITS_RETRYBUDGET_H
#define SAMPHIREHILL_LIMITS_RETRYBUDGET_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Time.h"

#include <map>
#include <utility>

namespace samphirehill {

struct RetryBudgetSettings {
  // In hundredths of an attempt; integers keep the sums exact.
  int EarnedPerRequest = 8;
  int Initial = 100;
  int Maximum = 1000;
  Duration BackoffBase = milliseconds(20);
  Duration BackoffMaximum = seconds(1);
};

// The budgets of all pairs, in hundredths of an attempt. A pair is added when
// it is first used and never removed, so pass only authenticated organisations
// and known services: the number of pairs is then bounded by the configuration.
struct RetryBudgets {
  RetryBudgetSettings Settings;
  std::map<std::pair<OrganisationId, ServiceId>, int> Hundredths;
};

// Adds the budget earned by one new request. Don't call it for retries or
// resumes of a request.
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

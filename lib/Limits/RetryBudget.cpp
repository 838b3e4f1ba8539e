#include "samphirehill/Limits/RetryBudget.h"

#include <algorithm>

namespace samphirehill {
namespace {

constexpr int HundredthsPerAttempt = 100;

int &budgetOf(RetryBudgets &Budgets, const OrganisationId &Organisation,
              const ServiceId &Service) {
  return Budgets.Hundredths
      .try_emplace({Organisation, Service}, Budgets.Settings.Initial)
      .first->second;
}

} // namespace

void earnRetry(RetryBudgets &Budgets, const OrganisationId &Organisation,
               const ServiceId &Service) {
  int &Budget = budgetOf(Budgets, Organisation, Service);
  Budget = std::min(Budgets.Settings.Maximum,
                    Budget + Budgets.Settings.EarnedPerRequest);
}

bool spendRetry(RetryBudgets &Budgets, const OrganisationId &Organisation,
                const ServiceId &Service) {
  int &Budget = budgetOf(Budgets, Organisation, Service);
  if (Budget < HundredthsPerAttempt)
    return false;
  Budget -= HundredthsPerAttempt;
  return true;
}

Duration retryBackoff(const RetryBudgetSettings &Settings, int Attempt,
                      double UnitRandom) {
  constexpr int MaxShift = 20; // keeps the doubling within 64 bits
  Duration Ceiling = Settings.BackoffBase *
                     (std::int64_t{1} << std::clamp(Attempt, 0, MaxShift));
  Ceiling = std::min(Ceiling, Settings.BackoffMaximum);
  return Duration(static_cast<std::int64_t>(
      static_cast<double>(Ceiling.count()) * UnitRandom));
}

} // namespace samphirehill

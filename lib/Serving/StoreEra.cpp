#include "samphirehill/Serving/StoreEra.h"

#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {

bool noteAnswerEra(StoreEra &Era, std::optional<std::int64_t> Named) {
  if (!Named || *Named == Era.Current)
    return true;
  if (*Named < Era.Current)
    return false;
  std::int64_t Before = std::exchange(Era.Current, *Named);
  if (Before == 0)
    return true;
  spdlog::warn("event=store_restored era={} before={}", Era.Current, Before);
  for (const auto &[Subscriber, Call] : Era.OnRestored)
    Call();
  return true;
}

} // namespace samphirehill::serving

// The eras of the platform's store. The store may be restored from a copy that
// is some seconds old: what was written since is gone, its revisions go back
// and are given out again, and its era rises. So a revision means something
// only within its era. No I/O.
#ifndef SAMPHIREHILL_SERVING_STOREERA_H
#define SAMPHIREHILL_SERVING_STOREERA_H

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace samphirehill::serving {

// A revision of the store, in the era in which it was given out. Later marks
// are greater.
struct StoreMark {
  std::int64_t Era = 0; // 0: the store names none
  std::int64_t Revision = 0;

  auto operator<=>(const StoreMark &) const = default;
};

// The store's era as one entry knows it.
struct StoreEra {
  std::int64_t Current = 0; // 0: no answer has named one
  // Called when the era has risen, before the answer that shows it is used, but
  // not for the first era that is known. By subscriber.
  std::map<const void *, std::function<void()>> OnRestored;
};

// Notes the era that an answer of the store names, if it names one. Returns
// false if the answer is of an earlier era: what it says is gone.
bool noteAnswerEra(StoreEra &Era, std::optional<std::int64_t> Named);

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_STOREERA_H

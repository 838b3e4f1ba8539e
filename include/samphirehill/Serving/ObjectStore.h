// The part of the platform's store of small objects that the serving path uses:
// entries keep there what they must agree on and what must outlive them. The
// adapter supplies the functions.
#ifndef SAMPHIREHILL_SERVING_OBJECTSTORE_H
#define SAMPHIREHILL_SERVING_OBJECTSTORE_H

#include "samphirehill/Core/Result.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill::serving {

struct StoredObject {
  std::string Name;
  std::int64_t Revision = 0; // of the last change; 0: not created yet
  std::string Value;         // JSON

  bool operator==(const StoredObject &) const = default;
};

// Each function passes its result to Done.
struct ObjectStore {
  // Returns the store's era as its answers name it, or 0; see StoreEra.h. May
  // be empty: the store names none.
  std::function<std::int64_t()> Era;
  // Reads one object. The result is nothing if it doesn't exist.
  std::function<void(
      const std::string &Kind, const std::string &Name,
      std::function<void(Outcome<std::optional<StoredObject>>)> Done)>
      Read;
  // Reads all objects of a kind.
  std::function<void(
      const std::string &Kind,
      std::function<void(Outcome<std::vector<StoredObject>>)> Done)>
      List;
  // Writes an object if its revision in the store is still Object.Revision, and
  // returns it with its new revision. Fails with Conflict if the revision is
  // another one, and with UnknownWriteOutcome if no answer came and the write
  // may have taken effect or may still do so.
  std::function<void(const std::string &Kind, const StoredObject &Object,
                     std::function<void(Outcome<StoredObject>)> Done)>
      Write;
  // Removes an object if its revision in the store is still Object.Revision.
  // Passes the error to Done, if any: Conflict if the revision is another one,
  // NotFound if the object doesn't exist.
  std::function<void(const std::string &Kind, const StoredObject &Object,
                     std::function<void(std::optional<Error>)> Done)>
      Remove;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_OBJECTSTORE_H

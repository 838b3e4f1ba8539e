// The platform's store of small objects, as the serving path needs it: for what
// entries must agree on or keep. The adapter supplies the functions.
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
  std::int64_t Revision = 0; // of its last change; 0 is before its creation
  std::string Value;         // JSON

  bool operator==(const StoredObject &) const = default;
};

struct ObjectStore {
  // Reads one object; nothing if it doesn't exist.
  std::function<void(
      const std::string &Kind, const std::string &Name,
      std::function<void(Outcome<std::optional<StoredObject>>)> Done)>
      Read;
  // Reads all objects of a kind.
  std::function<void(
      const std::string &Kind,
      std::function<void(Outcome<std::vector<StoredObject>>)> Done)>
      List;
  // Writes an object if its revision is still Object.Revision. Fails with
  // Conflict if it isn't, and with UnknownWriteOutcome if the write may take
  // effect although no answer came.
  std::function<void(const std::string &Kind, const StoredObject &Object,
                     std::function<void(Outcome<StoredObject>)> Done)>
      Write;
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_SERVING_OBJECTSTORE_H

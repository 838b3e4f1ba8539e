// A store of small objects in memory for tests of the serving path. It answers
// within the call, and can fail.
#ifndef SAMPHIREHILL_TEST_SERVING_MEMORYSTORE_H
#define SAMPHIREHILL_TEST_SERVING_MEMORYSTORE_H

#include "samphirehill/Serving/ObjectStore.h"

#include <map>
#include <string>

namespace samphirehill::serving {

struct MemoryStore {
  using Objects = std::map<std::string, StoredObject>; // by name

  std::map<std::string, Objects> Kinds;
  std::int64_t Revision = 0;
  std::int64_t Era = 1;
  bool Down = false;
  std::map<std::string, int> Calls; // by "<call> <kind>"

  // The returned functions refer to this object.
  ObjectStore functions() {
    ObjectStore Store;
    Store.Era = [this] { return Era; };
    Store.Read = [this](const std::string &Kind, const std::string &Name,
                        auto Done) {
      if (!begin("read", Kind))
        return Done(unavailable());
      auto Found = Kinds[Kind].find(Name);
      Done(Found == Kinds[Kind].end() ? std::nullopt
                                      : std::optional(Found->second));
    };
    Store.List = [this](const std::string &Kind, auto Done) {
      if (!begin("list", Kind))
        return Done(unavailable());
      std::vector<StoredObject> All;
      for (const auto &[Name, Each] : Kinds[Kind])
        All.push_back(Each);
      Done(All);
    };
    Store.Write = [this](const std::string &Kind, const StoredObject &Object,
                         auto Done) {
      if (!begin("write", Kind))
        return Done(unavailable());
      if (std::optional<Error> Failed = revisionError(Kind, Object))
        return Done(*Failed);
      StoredObject Written = Object;
      Written.Revision = ++Revision;
      Kinds[Kind][Object.Name] = Written;
      Done(Written);
    };
    Store.Remove = [this](const std::string &Kind, const StoredObject &Object,
                          auto Done) {
      if (!begin("remove", Kind))
        return Done(unavailable());
      std::optional<Error> Failed = revisionError(Kind, Object);
      if (!Failed)
        Kinds[Kind].erase(Object.Name);
      Done(Failed);
    };
    return Store;
  }

private:
  bool begin(const std::string &Call, const std::string &Kind) {
    ++Calls[Call + " " + Kind];
    return !Down;
  }

  static Error unavailable() {
    return {ResultCode::PlatformUnavailable, "store is down"};
  }

  std::optional<Error> revisionError(const std::string &Kind,
                                     const StoredObject &Object) {
    auto Found = Kinds[Kind].find(Object.Name);
    bool Exists = Found != Kinds[Kind].end();
    if (!Exists && Object.Revision != 0)
      return Error{ResultCode::NotFound, "no such object"};
    if ((Exists ? Found->second.Revision : 0) != Object.Revision)
      return Error{ResultCode::Conflict, "revision"};
    return std::nullopt;
  }
};

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_TEST_SERVING_MEMORYSTORE_H

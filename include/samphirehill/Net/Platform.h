// The platform's object API and instance list, as asynchronous calls. The wire
// format is pinned in docs/interfaces.md; another platform is another
// implementation of this interface.
//
// Every call hands its result to its callback once, on the io_context of the
// HttpClient behind it, never before the call returns. Calls are not retried
// here: the caller decides, because it knows its deadline and write id.
//
// Errors of every call:
//   PlatformUnavailable  no answer to a read, or an outage. A write did not
//                        take effect.
//   PlatformRateLimited  over the platform's rate. A write did not take effect.
//   BadAnswer            the answer to a read does not follow the interface.
// Further errors of writes (writeObject, deleteObject):
//   Conflict             the object has another version, or exists already
//   NotFound             the object is gone; it never comes back by a write
//                        other than one with version 0
//   UnknownWriteOutcome  the answer was lost: the write took effect, did not,
//                        or may still do so. Read the object and compare its
//                        WriteId; a version above the expected one settles it.
#ifndef SAMPHIREHILL_NET_PLATFORM_H
#define SAMPHIREHILL_NET_PLATFORM_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Instance.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/HttpClient.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphirehill {

// Names an object. Both parts are of [A-Za-z0-9._-], at least one character.
struct ObjectKey {
  std::string Kind;
  std::string Name;

  auto operator<=>(const ObjectKey &) const = default;
};

// An object as it was read. Versions of one key rise with every write, also
// over deletion and creation anew.
struct Object {
  ObjectKey Key;
  std::uint64_t Version = 0;
  std::string Value;   // JSON text
  std::string WriteId; // of the write that made this version

  bool operator==(const Object &) const = default;
};

// The answer to a list or watch. If Complete, Items are all there are, and
// whatever is missing has been deleted. Otherwise Items are those changed and
// Deleted those deleted after the revision asked for; both are empty when the
// wait ended without a change.
template <typename T, typename K> struct ItemList {
  std::uint64_t Revision = 0; // to watch from
  bool Complete = false;
  std::vector<T> Items;
  std::vector<K> Deleted;
  int Skipped = 0; // items that could not be read
};
using ObjectList = ItemList<Object, ObjectKey>;
using InstanceList = ItemList<Instance, InstanceId>;

class Platform {
public:
  template <typename T> using Callback = std::function<void(Outcome<T>)>;

  virtual ~Platform() = default;

  // Reads an object. NotFound if there is none.
  virtual CallId readObject(const ObjectKey &Key, Callback<Object> OnDone) = 0;

  // Replaces the object if its version is Expected, or creates it if Expected
  // is 0; hands over the new version. Value is JSON text of at most 1 MB.
  // WriteId identifies this attempt among all writers' attempts.
  virtual CallId writeObject(const ObjectKey &Key, std::uint64_t Expected,
                             const std::string &Value,
                             const std::string &WriteId,
                             Callback<std::uint64_t> OnDone) = 0;

  // Deletes the object if its version is Expected; hands over that version.
  virtual CallId deleteObject(const ObjectKey &Key, std::uint64_t Expected,
                              Callback<std::uint64_t> OnDone) = 0;

  // Lists all objects of Kind.
  virtual CallId listObjects(const std::string &Kind,
                             Callback<ObjectList> OnDone) = 0;

  // Waits up to Wait (at most 60 s) until an object of Kind has changed after
  // the revision After, which a list or watch of Kind gave.
  virtual CallId watchObjects(const std::string &Kind, std::uint64_t After,
                              Duration Wait, Callback<ObjectList> OnDone) = 0;

  // Lists all instances.
  virtual CallId listInstances(Callback<InstanceList> OnDone) = 0;

  // Waits up to Wait (at most 60 s) until an instance has changed after the
  // revision After.
  virtual CallId watchInstances(std::uint64_t After, Duration Wait,
                                Callback<InstanceList> OnDone) = 0;

  // Drops the callback of a call when called on the io_context's thread. A
  // write that was cancelled may still take effect.
  virtual void cancel(CallId Call) = 0;
};

struct PlatformOptions {
  std::string Address;           // "ip:port"
  Duration Timeout = seconds(2); // of one call, beyond a watch's wait
};

// Returns the platform that answers HTTP at Options.Address. Client must
// outlive it; callbacks may still run after it is gone.
std::unique_ptr<Platform> makeHttpPlatform(HttpClient &Client,
                                           PlatformOptions Options);

} // namespace samphirehill

#endif // SAMPHIREHILL_NET_PLATFORM_H

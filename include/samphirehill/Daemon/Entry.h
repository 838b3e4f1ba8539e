// One entry process: all its parts, connected.
#ifndef SAMPHIREHILL_DAEMON_ENTRY_H
#define SAMPHIREHILL_DAEMON_ENTRY_H

#include "samphirehill/Config/Settings.h"
#include "samphirehill/Core/Result.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
} // namespace asio

namespace samphirehill {

class Entry {
public:
  // Listens on all addresses of Config and starts to take part. Errors: the
  // first address that can't be bound.
  static Result<std::unique_ptr<Entry>> create(asio::io_context &Context,
                                               const Settings &Config);
  ~Entry();

  // Begins the graceful shutdown: readiness fails, new requests are refused,
  // work in progress ends, credits, homes and shards are handed over. Done is
  // called once at the end, at the latest after the settings' shutdown time.
  void shutDown(std::function<void()> Done);

private:
  struct Parts;
  explicit Entry(std::unique_ptr<Parts> Own);
  std::unique_ptr<Parts> Own;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_ENTRY_H

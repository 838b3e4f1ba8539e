#include "samphirehill/Daemon/Runtime.h"

#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill {

Runtime::Runtime(asio::io_context &Context, Settings Config, std::uint64_t Seed)
    : Context(Context), Config(std::move(Config)), Started(0), Timers(Context),
      Http(Context), Generator(Seed) {
  Started =
      static_cast<Incarnation>(Timers.wallNow().time_since_epoch().count());
}

void Runtime::record(const std::string &Kind, const std::string &Subject,
                     const std::string &Cause, const std::string &Request) {
  Events.add(Event{Clock.tick(Timers.wallNow()), Config.Entry.str(), Kind,
                   Subject, Cause, Request});
  Counters.count(labelled("events_total", "kind", Kind));
  spdlog::info("{} {}{}{}", Kind, Subject, Cause.empty() ? "" : ": ", Cause);
}

RequestId Runtime::nextRequestId() {
  return RequestId(Config.Entry.str() + "." + std::to_string(Started) + "." +
                   std::to_string(++LastRequest));
}

double Runtime::random() {
  return std::uniform_real_distribution<double>(0, 1)(Generator);
}

} // namespace samphirehill

#include "samphirehill/Serving/DecisionLog.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>
#include <utility>

namespace samphirehill::serving {
namespace {

constexpr Duration FlushPeriod = milliseconds(100);
// A pipe that poll reports as writable accepts this many bytes without
// blocking.
constexpr std::size_t AtomicWriteBytes = 4'096;

bool isWritable(int Handle) {
  pollfd Descriptor{Handle, POLLOUT, 0};
  return ::poll(&Descriptor, 1, 0) == 1 && (Descriptor.revents & POLLOUT) != 0;
}

// Sink that buffers lines within the limits and writes them without blocking.
class BoundedSink
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  explicit BoundedSink(TimerService &Timers) : Timers(Timers) {}

  // Writes pending lines until none is left or the reader has no room.
  void write() {
    while (!Buffer.Pending.empty() && isWritable(STDOUT_FILENO)) {
      std::size_t Size = std::min(Buffer.Pending.size(), AtomicWriteBytes);
      ssize_t Written = ::write(STDOUT_FILENO, Buffer.Pending.data(), Size);
      if (Written <= 0)
        return;
      Buffer.Pending.erase(0, static_cast<std::size_t>(Written));
    }
  }

  TimerSubscription Timer;

private:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Formatted;
    formatter_->format(Message, Formatted);
    addLine(Buffer, std::string_view(Formatted.data(), Formatted.size()),
            Message.level >= spdlog::level::warn, Timers.now());
  }

  void flush_() override { write(); }

  TimerService &Timers;
  LogBuffer Buffer;
};

std::shared_ptr<BoundedSink> &currentSink() {
  static std::shared_ptr<BoundedSink> Sink;
  return Sink;
}

} // namespace

void addLine(LogBuffer &Buffer, std::string_view Line, bool Failure,
             TimePoint Now) {
  if (Now - Buffer.SecondStart >= seconds(1)) {
    Buffer.SecondStart = Now;
    Buffer.LinesThisSecond = 0;
  }
  std::size_t Allowed = Buffer.Limits.LinesPerSecond +
                        (Failure ? Buffer.Limits.ExtraLinesForFailures : 0);
  if (Buffer.LinesThisSecond >= Allowed ||
      Buffer.Pending.size() + Line.size() > Buffer.Limits.PendingBytes) {
    ++Buffer.Omitted;
    return;
  }
  if (Buffer.Omitted > 0)
    Buffer.Pending += fmt::format("event=log_lines_omitted count={}\n",
                                  std::exchange(Buffer.Omitted, 0));
  ++Buffer.LinesThisSecond;
  Buffer.Pending += Line;
}

void startDecisionLog(TimerService &Timers) {
  auto Sink = std::make_shared<BoundedSink>(Timers);
  Sink->Timer = Timers.every(FlushPeriod, [Raw = Sink.get()] { Raw->write(); });
  currentSink() = Sink;
  auto Logger = std::make_shared<spdlog::logger>("samphirehill", Sink);
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                      spdlog::pattern_time_type::utc);
  spdlog::set_default_logger(std::move(Logger));
}

void stopDecisionLog() {
  if (!currentSink())
    return;
  currentSink()->write();
  currentSink()->Timer.cancel();
  spdlog::set_default_logger(std::make_shared<spdlog::logger>("none"));
  currentSink().reset();
}

} // namespace samphirehill::serving

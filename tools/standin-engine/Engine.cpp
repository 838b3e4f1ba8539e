#include "standin-engine/Engine.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace samphirehill::standin {
namespace {

std::int64_t wallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

} // namespace

std::string tokenAt(const std::string &Model, const std::string &Version,
                    const std::string &Adapter, const std::string &Prompt,
                    std::int64_t Index) {
  std::uint64_t Hash = combineHashes(hashBytes(Model), hashBytes(Version));
  Hash = combineHashes(Hash, hashBytes(Adapter));
  Hash = combineHashes(Hash, hashBytes(Prompt));
  Hash = combineHashes(Hash, static_cast<std::uint64_t>(Index));
  char Text[16];
  std::snprintf(Text, sizeof(Text), "t%06x ",
                static_cast<unsigned>(Hash & 0xffffff));
  return Text;
}

Engine::Engine(asio::io_context &Io, EngineOptions Options)
    : Io(Io), Options(std::move(Options)), Boot(randomId()),
      Cache(this->Options.Cache) {
  keepSampling();
  keepReadingInstances();
}

void Engine::handle(const Request &From, const ResponderPtr &To) {
  if (From.Path.rfind("/control/", 0) == 0)
    return handleControl(From, To);
  TimePoint Now = now();
  if (Now >= PausedUntil)
    return dispatch(From, To);
  after(Io, PausedUntil - Now, [this, From, To] { handle(From, To); });
}

void Engine::dispatch(const Request &From, const ResponderPtr &To) {
  bool Post = From.Method == "POST";
  if (!Post && From.Path == "/status")
    return sendJson(To, 200, status());
  if (Post && From.Path == "/orders")
    return handleOrder(From, To);
  if (Post && From.Path == "/generate")
    return handleGenerate(From, To);
  if (Post && From.Path == "/cancel")
    return handleCancel(From, To);
  if (!Post && From.Path == "/cache-events")
    return handleCacheEvents(From, To);
  if (!Post && From.Path.rfind("/kv/", 0) == 0)
    return handleKv(From, To);
  sendJson(To, 404, {{"error", "no-such-path"}, {"message", From.Path}});
}

Engine::Phase Engine::phase() {
  if (Current == Phase::Cold && now() >= WarmAt)
    Current = Phase::Warm;
  return Current;
}

Json Engine::status() {
  static constexpr const char *Names[] = {"idle", "loading", "cold", "warm"};
  Json Ids = Json::array();
  for (const StreamPtr &Item : Streams)
    Ids.push_back(Item->RequestId);
  return {{"instance", Options.Id},
          {"bootId", Boot},
          {"state", Names[static_cast<int>(phase())]},
          {"model", Assigned.Model},
          {"version", Assigned.Version},
          {"adapters", Adapters},
          {"group", Assigned.Group},
          {"generation", Assigned.Generation},
          {"members", Assigned.Members},
          {"rank", Assigned.Rank},
          {"orderId", Assigned.OrderId},
          {"fence", Fence},
          {"groupWhole", groupWhole()},
          {"running", Reported.Running},
          {"queued", Reported.Queued},
          {"runningIds", Ids},
          {"tokensPerSecond", Reported.TokensPerSecond},
          {"cacheSequence", Cache.latest()},
          {"reportTimeMs", Reported.TimeMs}};
}

// The load in /status is a sample, so that it lags like a real engine's. The
// ids of running requests are exact: credits are given back by them.
void Engine::keepSampling() {
  sampleLoad();
  after(Io, milliseconds(std::max<std::int64_t>(Options.StatusLagMs, 1)),
        [this] { keepSampling(); });
}

void Engine::sampleLoad() {
  std::int64_t Time = wallMs();
  double Seconds = static_cast<double>(Time - Reported.TimeMs) / 1000;
  Load Sample;
  Sample.TimeMs = Time;
  Sample.Running = running();
  Sample.Queued = static_cast<std::int64_t>(Streams.size()) - Sample.Running;
  if (Seconds > 0)
    Sample.TokensPerSecond =
        static_cast<double>(Counts["tokens"] - TokensAtSample) / Seconds;
  TokensAtSample = Counts["tokens"];
  Reported = Sample;
}

void Engine::crash(const std::string &Reason) {
  ++Counts["crashes"];
  LastCrash = Reason;
  if (Options.OnCrash == CrashEffect::Exit && Options.Exit)
    return Options.Exit();
  if (Options.OnCrash == CrashEffect::Cold) {
    dropStreams();
    return turnCold(true);
  }
  forgetAssignment();
  Boot = randomId();
  Fence = 0;
  Obeyed.clear();
  sampleLoad();
}

void Engine::turnCold(bool NewBoot) {
  Cache.clear();
  if (NewBoot) {
    Boot = randomId();
    dropStreams();
    sampleLoad();
  }
  if (phase() != Phase::Warm && Current != Phase::Cold)
    return;
  Current = Phase::Cold;
  WarmAt = now() + milliseconds(Options.WarmMs);
}

void Engine::dropStreams() {
  auto Dropped = std::exchange(Streams, {});
  for (const StreamPtr &Item : Dropped) {
    Item->Ended = true;
    ++Counts["droppedStreams"];
    Item->To->drop();
  }
}

void Engine::forgetAssignment() {
  dropStreams();
  ++LoadAttempt;
  ++CheckAttempt;
  Current = Phase::Idle;
  Assigned = Assignment{};
  Adapters.clear();
  Cache.clear();
  MemberBoots.clear();
  MemberPresent.clear();
}

} // namespace samphirehill::standin

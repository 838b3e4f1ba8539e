// Generation: admission, queue, tokens, cancellation and deadlines.
#include "standin-engine/Engine.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace samphirehill::standin {
namespace {

constexpr std::int64_t DefaultMaxTokens = 256;
constexpr const char *PoisonMarker = "[poison]";
constexpr const char *StopMarker = "[stop:"; // "[stop:12]": 12 tokens in all

// Returns the length that the prompt's stop marker gives, or -1.
std::int64_t markedLength(const std::string &Prompt) {
  auto Found = Prompt.find(StopMarker);
  if (Found == std::string::npos)
    return -1;
  return std::atoll(Prompt.c_str() + Found + std::string(StopMarker).size());
}

} // namespace

void Engine::handleGenerate(const Request &From, const ResponderPtr &To) {
  Json Body = parseObject(From);
  int Status = 400;
  Json Refusal = {{"error", "bad-request"}};
  std::optional<Json> Reason = Refusal;
  if (!Body.is_discarded() && Body.contains("requestId") &&
      Body["requestId"].is_string() && Body.contains("prompt") &&
      Body["prompt"].is_string())
    Reason = refusal(Body, Status);
  if (Reason) {
    ++Refusals[(*Reason)["error"].get<std::string>()];
    Reason->update({{"run", "not run"}, {"bootId", Boot}});
    std::string RequestId;
    if (!Body.is_discarded())
      take(Body, "requestId", RequestId);
    (*Reason)["requestId"] = RequestId;
    return sendJson(To, Status, *Reason);
  }
  std::int64_t DeadlineMs = 0;
  take(Body, "deadlineMs", DeadlineMs);
  StreamPtr Item = makeStream(Body, To);
  admit(Item);
  if (DeadlineMs > 0 && !Item->Ended)
    endAfter(Item, milliseconds(DeadlineMs));
}

void Engine::endAfter(const StreamPtr &Item, Duration Delay) {
  after(Io, Delay, [this, Weak = std::weak_ptr<Stream>(Item)] {
    StreamPtr Late = Weak.lock();
    if (!Late)
      return;
    TimePoint Now = now();
    if (Now < PausedUntil)
      return endAfter(Late, PausedUntil - Now);
    end(Late, "deadline");
  });
}

std::optional<Json> Engine::refusal(const Json &Body, int &Status) {
  std::string RequestedBoot = Boot;
  std::string Model = Assigned.Model, Version = Assigned.Version, Adapter;
  std::int64_t DeadlineMs = 1;
  take(Body, "bootId", RequestedBoot);
  take(Body, "model", Model);
  take(Body, "version", Version);
  take(Body, "adapter", Adapter);
  take(Body, "deadlineMs", DeadlineMs);
  Status = 409;
  if (RequestedBoot != Boot)
    return Json{{"error", "boot-id"}};
  bool Ready = phase() == Phase::Cold || phase() == Phase::Warm;
  if (!Ready || Assigned.Group.empty() || Assigned.Rank != 0 || !groupWhole())
    return Json{{"error", "group"}};
  if (Model != Assigned.Model || Version != Assigned.Version)
    return Json{{"error", "model"}};
  if (!Adapter.empty() && Adapters.count(Adapter) == 0)
    return Json{{"error", "adapter"}};
  if (DeadlineMs <= 0)
    return Json{{"error", "deadline"}};
  for (const StreamPtr &Item : Streams)
    if (Item->RequestId == Body["requestId"].get<std::string>())
      return Json{{"error", "duplicate-request-id"}};
  Status = 503;
  if (Current == Phase::Warm &&
      static_cast<std::int64_t>(Streams.size()) >= Options.WarmLimit)
    return Json{{"error", "overloaded"}};
  return std::nullopt;
}

Engine::StreamPtr Engine::makeStream(const Json &Body, const ResponderPtr &To) {
  auto Item = std::make_shared<Stream>();
  std::string Priority;
  std::int64_t MaxTokens = DefaultMaxTokens;
  take(Body, "requestId", Item->RequestId);
  take(Body, "adapter", Item->Adapter);
  take(Body, "prompt", Item->Prompt);
  take(Body, "resumeTokens", Item->Resumed);
  take(Body, "priority", Priority);
  take(Body, "maxTokens", MaxTokens);
  Item->Priority = Priority == "high" ? 0 : Priority == "low" ? 2 : 1;
  Item->Sequence = ++StreamSequence;
  Item->Index = static_cast<std::int64_t>(Item->Resumed.size());
  Item->Last = MaxTokens;
  std::int64_t Marked = markedLength(Item->Prompt);
  if (Marked >= 0 && Marked <= MaxTokens) {
    Item->Last = Marked;
    Item->StopsByItself = true;
  }
  Item->To = To;
  return Item;
}

void Engine::admit(const StreamPtr &Item) {
  Streams.push_back(Item);
  ++Counts["streams"];
  for (std::int64_t Index = 0; Index < Item->Index; ++Index) {
    const std::string &Token = Item->Resumed[static_cast<std::size_t>(Index)];
    if (Token == tokenAt(Assigned.Model, Assigned.Version, Item->Adapter,
                         Item->Prompt, Index))
      continue;
    ++Counts["wrongResumes"];
    break;
  }
  if (Item->Index > 0)
    ++Counts["resumes"];
  auto Outstanding = static_cast<std::int64_t>(Streams.size());
  if (Current == Phase::Warm) {
    Counts["highestWarm"] = std::max(Counts["highestWarm"], Outstanding);
  } else {
    // Work from before the engine turned cold needs no warm-up.
    Item->AdmittedCold = true;
    auto Cold = static_cast<std::int64_t>(
        std::count_if(Streams.begin(), Streams.end(),
                      [](const StreamPtr &S) { return S->AdmittedCold; }));
    Counts["highestCold"] = std::max(Counts["highestCold"], Cold);
    if (Cold > Options.ColdLimit)
      return crash("more work than the cold limit");
  }
  if (Faults.DropStreams > 0) {
    --Faults.DropStreams;
    Item->DropAt = Item->Index + Faults.DropAfterTokens;
  }
  Item->To->onBroken([this, Weak = std::weak_ptr<Stream>(Item)] {
    StreamPtr Gone = Weak.lock();
    if (!Gone || Gone->Ended)
      return;
    ++Counts["callersGone"];
    remove(Gone);
  });
  Item->To->startStream(
      {{"Content-Type", "application/x-ndjson"},
       {"X-Engine-State", Item->AdmittedCold ? "cold" : "warm"}});
  startQueued();
}

std::int64_t Engine::running() const {
  return std::count_if(Streams.begin(), Streams.end(),
                       [](const StreamPtr &Item) { return Item->Running; });
}

void Engine::startQueued() {
  while (running() < Options.MaxRunning) {
    StreamPtr Best;
    for (const StreamPtr &Item : Streams)
      if (!Item->Running &&
          (!Best || std::pair(Item->Priority, Item->Sequence) <
                        std::pair(Best->Priority, Best->Sequence)))
        Best = Item;
    if (!Best)
      return;
    start(Best);
  }
}

void Engine::start(const StreamPtr &Item) {
  Item->Running = true;
  if (Item->Prompt.find(PoisonMarker) != std::string::npos)
    return crash("poisoned prompt");
  auto Prefixes = prefixIds(Item->Prompt, Item->Adapter);
  std::size_t Cached = Cache.touch(Prefixes);
  Counts["promptBlocks"] += static_cast<std::int64_t>(Prefixes.size());
  Counts["cachedBlocks"] += static_cast<std::int64_t>(Cached);
  Cache.store(Prefixes, now());
  double Blocks = static_cast<double>(Prefixes.size() - Cached) + 1;
  later(Item, Blocks * Options.MsPerPromptBlock, &Engine::next);
}

// Runs Step after Ms, stretched by the engine's state, and after any pause,
// unless the stream has ended by then.
void Engine::later(const StreamPtr &Item, double Ms,
                   void (Engine::*Step)(const StreamPtr &)) {
  double Factor = Faults.SlowFactor;
  Factor *= phase() == Phase::Cold ? Options.ColdFactor : 1;
  Factor *= 1 + Options.BatchFactor * static_cast<double>(running() - 1);
  Duration Delay(std::llround(Ms * Factor * 1000));
  after(Io, Delay, [this, Weak = std::weak_ptr<Stream>(Item), Step] {
    StreamPtr Due = Weak.lock();
    if (!Due || Due->Ended)
      return;
    TimePoint Now = now();
    if (Now >= PausedUntil)
      return (this->*Step)(Due);
    after(Io, PausedUntil - Now, [this, Weak, Step] {
      StreamPtr Paused = Weak.lock();
      if (Paused && !Paused->Ended)
        (this->*Step)(Paused);
    });
  });
}

void Engine::next(const StreamPtr &Item) {
  if (Item->Index >= Item->Last)
    return end(Item, Item->StopsByItself ? "stop" : "length");
  if (Item->DropAt >= 0 && Item->Index >= Item->DropAt) {
    ++Counts["droppedStreams"];
    Item->To->drop();
    return remove(Item);
  }
  emit(Item);
  later(Item, Options.MsPerToken, &Engine::next);
}

void Engine::emit(const StreamPtr &Item) {
  Json Chunk = {{"requestId", Item->RequestId},
                {"bootId", Boot},
                {"index", Item->Index},
                {"token", tokenAt(Assigned.Model, Assigned.Version,
                                  Item->Adapter, Item->Prompt, Item->Index)}};
  ++Item->Index;
  ++Counts["tokens"];
  ResponderPtr To = Item->To;
  if (Faults.RenameChunks > 0) {
    --Faults.RenameChunks;
    Chunk["requestId"] = "foreign." + Item->RequestId;
  }
  if (Faults.CrossChunks > 0) {
    for (const StreamPtr &Other : Streams) {
      if (Other == Item || !Other->Running)
        continue;
      --Faults.CrossChunks;
      To = Other->To;
      break;
    }
  }
  std::string Line = Chunk.dump() + "\n";
  if (Faults.DuplicateChunks > 0) {
    --Faults.DuplicateChunks;
    To->write(Line);
  }
  To->write(Line);
}

void Engine::end(const StreamPtr &Item, const std::string &Reason) {
  if (Item->Ended)
    return;
  Json Last = {{"requestId", Item->RequestId},
               {"bootId", Boot},
               {"done", true},
               {"finishReason", Reason},
               {"count", Item->Index}};
  ++Counts["ended-" + Reason];
  Item->To->write(Last.dump() + "\n");
  Item->To->finish();
  remove(Item);
}

void Engine::remove(const StreamPtr &Item) {
  Item->Ended = true;
  Streams.erase(std::remove(Streams.begin(), Streams.end(), Item),
                Streams.end());
  startQueued();
}

void Engine::handleCancel(const Request &From, const ResponderPtr &To) {
  Json Body = parseObject(From);
  std::string RequestId;
  if (!Body.is_discarded())
    take(Body, "requestId", RequestId);
  if (RequestId.empty())
    return sendJson(To, 400, {{"error", "bad-request"}});
  auto Found =
      std::find_if(Streams.begin(), Streams.end(), [&](const StreamPtr &Item) {
        return Item->RequestId == RequestId;
      });
  bool Known = Found != Streams.end();
  if (Known)
    end(StreamPtr(*Found), "cancelled");
  sendJson(To, 200, {{"cancelled", Known}});
}

} // namespace samphirehill::standin

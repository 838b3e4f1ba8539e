// Cache events, KV cache transfer, faults and counters.
#include "standin-engine/Engine.h"

namespace samphirehill::standin {

void Engine::handleCacheEvents(const Request &From, const ResponderPtr &To) {
  Json Events = Json::array();
  for (const CacheEvent &Item : Cache.events(From.number("after", 0), now()))
    Events.push_back({{"sequence", Item.Sequence},
                      {"type", Item.Stored ? "stored" : "evicted"},
                      {"prefix", Item.Prefix}});
  sendJson(To, 200,
           {{"bootId", Boot}, {"oldest", Cache.oldest()}, {"events", Events}});
}

void Engine::handleKv(const Request &From, const ResponderPtr &To) {
  auto Parts = From.parts();
  if (Parts.size() != 2)
    return sendJson(To, 404, {{"error", "no-such-path"}});
  const std::string &Prefix = Parts[1];
  if (From.Method == "GET") {
    if (!Cache.contains(Prefix))
      return sendJson(To, 404, {{"error", "not-cached"}});
    ++Counts["kvExports"];
    return sendJson(To, 200,
                    {{"prefix", Prefix},
                     {"model", Assigned.Model},
                     {"version", Assigned.Version},
                     {"chain", Cache.chain(Prefix)}});
  }
  Json Body = parseObject(From);
  std::string Model, Version;
  std::vector<std::string> Chain;
  if (!Body.is_discarded()) {
    take(Body, "model", Model);
    take(Body, "version", Version);
    take(Body, "chain", Chain);
  }
  if (From.Method != "PUT" || Chain.empty() || Chain.back() != Prefix)
    return sendJson(To, 400, {{"error", "bad-request"}});
  bool Ready = phase() == Phase::Cold || phase() == Phase::Warm;
  if (!Ready || Model != Assigned.Model || Version != Assigned.Version)
    return sendJson(To, 409, {{"error", "model"}});
  Cache.store(Chain, now());
  ++Counts["kvImports"];
  sendJson(To, 200, {{"blocks", Chain.size()}});
}

void Engine::handleControl(const Request &From, const ResponderPtr &To) {
  if (From.Path == "/control/counters")
    return sendJson(To, 200, counters());
  Json Body = parseObject(From);
  if (From.Method != "POST" || Body.is_discarded())
    return sendJson(To, 400, {{"error", "bad-request"}});
  if (From.Path == "/control/faults") {
    setFaults(Body);
  } else if (From.Path == "/control/cold") {
    bool NewBoot = true;
    take(Body, "newBootId", NewBoot);
    turnCold(NewBoot);
  } else if (From.Path == "/control/crash") {
    crash("ordered by control");
  } else {
    return sendJson(To, 404, {{"error", "no-such-path"}});
  }
  sendJson(To, 200, Json::object());
}

void Engine::setFaults(const Json &Body) {
  std::int64_t PauseMs = 0;
  take(Body, "pauseMs", PauseMs);
  if (PauseMs > 0)
    PausedUntil = now() + milliseconds(PauseMs);
  take(Body, "slowFactor", Faults.SlowFactor);
  take(Body, "groupWhole", Faults.GroupWhole);
  take(Body, "dropStreams", Faults.DropStreams);
  take(Body, "dropAfterTokens", Faults.DropAfterTokens);
  take(Body, "crossChunks", Faults.CrossChunks);
  take(Body, "renameChunks", Faults.RenameChunks);
  take(Body, "duplicateChunks", Faults.DuplicateChunks);
  take(Body, "loseOrderAnswers", Faults.LoseOrderAnswers);
}

Json Engine::counters() {
  static constexpr const char *Always[] = {
      "highestCold", "highestWarm",    "crashes",       "streams",
      "tokens",      "ordersAccepted", "ordersRefused", "wrongResumes"};
  for (const char *Name : Always)
    Counts[Name];
  Json Values = Counts;
  Values["refusals"] = Refusals;
  Values["lastCrash"] = LastCrash;
  Values["outstanding"] = Streams.size();
  Values["bootId"] = Boot;
  return Values;
}

} // namespace samphirehill::standin

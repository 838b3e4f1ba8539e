// The part of RequestFlows that finds out whether an engine has crashed.
#include "samphirehill/Serving/RequestFlow.h"

#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {

void RequestFlows::checkCrash(const Upstream &Engine, const InstanceLife &Life,
                              std::vector<PromptPart> Prompt) {
  EngineCrash Seen{crashId(Life), Engine.Domain, Shared.Timers.now(), {}};
  if (!Prompt.empty())
    Seen.Prompts.push_back(std::move(Prompt));
  if (hasEnded(Shared.Book, Life, Seen.At))
    return noteEngineCrash(Life, Seen);
  auto [Place, IsNew] = Checks->try_emplace(Life, Seen);
  if (!IsNew) {
    std::vector<std::vector<PromptPart>> &Prompts = Place->second.Prompts;
    Prompts.insert(Prompts.end(), Seen.Prompts.begin(), Seen.Prompts.end());
    return;
  }
  Shared.Pool.checkConnect(
      Engine.Address, [this, Life, Weak = std::weak_ptr<CrashChecks>(Checks)](
                          ConnectCheck Seen) {
        if (Weak.expired())
          return;
        auto Checked = Checks->extract(Life);
        if (Seen == ConnectCheck::Refused)
          noteEngineCrash(Life, Checked.mapped());
        else
          spdlog::info("event=engine_lives instance={} born={}", Life.Id.str(),
                       Life.BornMilliseconds);
        dispatchWaiting();
      });
}

void RequestFlows::noteEngineCrash(const InstanceLife &Life,
                                   const EngineCrash &Crash) {
  bool IsNew = !hasEnded(Shared.Book, Life, Crash.At);
  noteCrash(Shared.Suspects, Crash, Shared.Timers.now());
  noteLifeEnded(Shared.Book, Life, Crash.At);
  if (IsNew) {
    Shared.Metrics.count("engine_crashes", "seen", "own");
    spdlog::warn("event=engine_crashed instance={} born={} domain={} "
                 "suspects={}",
                 Life.Id.str(), Life.BornMilliseconds, Crash.Domain,
                 Crash.Prompts.size());
  }
  if (Shared.OnSuspectNews && (IsNew || !Crash.Prompts.empty()))
    Shared.OnSuspectNews();
}

} // namespace samphirehill::serving

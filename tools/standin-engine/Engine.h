// The stand-in engine of docs/interfaces.md: orders, cold start, streamed
// tokens, prefix cache and KV cache, with faults on demand. Its tokens are a
// function of model, version, adapter, prompt and index.
#ifndef SAMPHIREHILL_STANDIN_ENGINE_ENGINE_H
#define SAMPHIREHILL_STANDIN_ENGINE_ENGINE_H

#include "standin-common/Program.h"
#include "standin-engine/PrefixCache.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphirehill::standin {

// What a crash does to the engine.
enum class CrashEffect {
  Exit,  // calls EngineOptions::Exit
  Reset, // new boot id, no model and no group, like a replaced process
  Cold   // new boot id, cold, same model and group, like a quick restart
};

struct EngineOptions {
  std::string Id;
  bool ChecksFence = true;
  CrashEffect OnCrash = CrashEffect::Reset;
  std::function<void()> Exit;
  std::int64_t LoadMs = 500;    // without a platform
  std::int64_t AdapterMs = 50;  // time to load an adapter
  std::int64_t WarmMs = 2000;   // time from loaded to warm
  std::int64_t ColdLimit = 2;   // more outstanding work while cold: crash
  std::int64_t WarmLimit = 64;  // more outstanding work while warm: 503
  std::int64_t MaxRunning = 16; // further work is queued
  double MsPerToken = 10;
  double MsPerPromptBlock = 1;    // per prompt block that isn't cached
  double ColdFactor = 2;          // slower while cold
  double BatchFactor = 0.02;      // slower per further running request
  std::int64_t StatusLagMs = 200; // age of the reported load
  std::int64_t MemberCheckMs = 250;
  PrefixCache::Limits Cache;
  // "ip:port" of the platform, for the weight store and the members'
  // addresses. Without it the engine trusts that its group is whole.
  std::string Platform;
  // Fetches "http://ip:port/path"; calls back with status 0 when there is no
  // answer. Without it neither weights nor members are asked for.
  std::function<void(const std::string &, std::function<void(int, Json)>)>
      Fetch;
};

// Faults in force; POST /control/faults sets any of the fields.
struct EngineFaults {
  double SlowFactor = 1;
  bool GroupWhole = true;            // false: refuses work
  std::int64_t DropStreams = 0;      // next streams that are cut off
  std::int64_t DropAfterTokens = 3;  // tokens that they get first
  std::int64_t CrossChunks = 0;      // next chunks sent on another stream
  std::int64_t RenameChunks = 0;     // next chunks with a foreign request id
  std::int64_t DuplicateChunks = 0;  // next chunks sent twice
  std::int64_t LoseOrderAnswers = 0; // next orders: obeyed, answer lost
};

// Returns the token at Index of the answer to Prompt.
std::string tokenAt(const std::string &Model, const std::string &Version,
                    const std::string &Adapter, const std::string &Prompt,
                    std::int64_t Index);

// Serves the engine's interface; every method runs on Io, whose handlers must
// not run after the engine is destroyed.
class Engine {
public:
  Engine(asio::io_context &Io, EngineOptions Options);

  void handle(const Request &From, const ResponderPtr &To);

private:
  enum class Phase { Idle, Loading, Cold, Warm };

  struct Stream {
    std::string RequestId, Adapter, Prompt;
    int Priority = 1; // 0 is served first
    std::int64_t Sequence = 0;
    std::vector<std::string> Resumed;
    std::int64_t Index = 0; // of the next token
    std::int64_t Last = 0;  // index after the last token
    bool StopsByItself = false;
    std::int64_t DropAt = -1; // index at which the connection is cut
    bool Running = false;
    bool AdmittedCold = false;
    bool Ended = false;
    ResponderPtr To;
  };
  using StreamPtr = std::shared_ptr<Stream>;

  // What the last accepted order said.
  struct Assignment {
    std::string OrderId, Model, Version, Group;
    std::int64_t Generation = 0;
    std::int64_t Rank = 0;
    std::vector<std::string> Members; // by rank
  };

  struct Load {
    std::int64_t Running = 0;
    std::int64_t Queued = 0;
    std::int64_t TimeMs = 0; // wall clock
    double TokensPerSecond = 0;
  };

  void dispatch(const Request &From, const ResponderPtr &To);

  // Engine.cpp: state, status, crashes.
  Phase phase();
  Json status();
  void keepSampling();
  void sampleLoad();
  void crash(const std::string &Reason);
  void turnCold(bool NewBoot);
  void dropStreams();
  void forgetAssignment();

  // EngineOrders.cpp: orders, loads, the group.
  void handleOrder(const Request &From, const ResponderPtr &To);
  Json obey(const Json &Order, int &Status);
  void load(const Json &Order);
  void assign(const Json &Order);
  void fetchWeights(std::int64_t Attempt);
  void finishLoad(std::int64_t Attempt, Duration Delay);
  bool asksMembers() const;
  void keepReadingInstances();
  void checkMembers();
  void checkMember(std::size_t Rank, std::int64_t Attempt);
  void judgeMember(std::size_t Rank, int Status, const Json &Body);
  bool groupWhole() const;

  // EngineStreams.cpp: generation.
  void handleGenerate(const Request &From, const ResponderPtr &To);
  std::optional<Json> refusal(const Json &Body, int &Status);
  StreamPtr makeStream(const Json &Body, const ResponderPtr &To);
  void endAfter(const StreamPtr &Item, Duration Delay);
  void admit(const StreamPtr &Item);
  void startQueued();
  void start(const StreamPtr &Item);
  void next(const StreamPtr &Item);
  void emit(const StreamPtr &Item);
  void end(const StreamPtr &Item, const std::string &Reason);
  void remove(const StreamPtr &Item);
  void handleCancel(const Request &From, const ResponderPtr &To);
  void later(const StreamPtr &Item, double Ms,
             void (Engine::*Step)(const StreamPtr &));
  std::int64_t running() const;

  // EngineControl.cpp: cache, KV cache, faults, counters.
  void handleCacheEvents(const Request &From, const ResponderPtr &To);
  void handleKv(const Request &From, const ResponderPtr &To);
  void handleControl(const Request &From, const ResponderPtr &To);
  void setFaults(const Json &Body);
  Json counters();

  asio::io_context &Io;
  EngineOptions Options;
  EngineFaults Faults;
  std::string Boot;
  Phase Current = Phase::Idle;
  TimePoint WarmAt;
  TimePoint PausedUntil;
  Assignment Assigned;
  std::set<std::string> Adapters;
  std::int64_t Fence = 0;
  std::map<std::string, Json> Obeyed; // accepted orders' answers by id
  std::int64_t LoadAttempt = 0;       // raised to abandon a load
  std::map<std::string, std::string> Addresses; // by instance id
  // Boot id of each member when it was first seen; empty before.
  std::vector<std::string> MemberBoots;
  std::vector<bool> MemberPresent;
  std::int64_t CheckAttempt = 0;
  std::vector<StreamPtr> Streams; // running and queued
  std::int64_t StreamSequence = 0;
  PrefixCache Cache;
  Load Reported;
  std::int64_t TokensAtSample = 0;
  std::map<std::string, std::int64_t> Counts;
  std::map<std::string, std::int64_t> Refusals;
  std::string LastCrash;
};

} // namespace samphirehill::standin

#endif // SAMPHIREHILL_STANDIN_ENGINE_ENGINE_H

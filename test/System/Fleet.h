// A venture in the test process: entries, engines, a plain service and the
// platform on loopback ports, each entry on an io_context of its own. One
// thread runs them in turn, so that a test can stop, pause and destroy an entry
// between two turns.
#ifndef SAMPHIREHILL_TEST_SYSTEM_FLEET_H
#define SAMPHIREHILL_TEST_SYSTEM_FLEET_H

#include "CallerStream.h"

#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Daemon/Entry.h"
#include "samphirehill/Net/HttpClient.h"
#include "standin-engine/Engine.h"
#include "standin-platform/Platform.h"
#include "standin-service/Service.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphirehill::system_test {

using standin::Json;
using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr const char *Model = "notes-70b";
constexpr const char *ModelVersion = "3";
constexpr const char *OperatorKey = "operator-key-of-tests";
// Keys of two organisations of one operator and of one of the other operator.
constexpr const char *FirstKey = "key-a-of-tests";
constexpr const char *SecondKey = "key-b-of-tests";
constexpr const char *ForeignKey = "key-z-of-tests";

// What the texts and the engines of a fleet say.
struct FleetShape {
  std::vector<std::string> Zones = {"mu-1", "mu-2"};
  int EntriesPerZone = 1;
  int EnginesPerZone = 1;
  int ReplicaSize = 1;
  int ReplicasPerZone = 1;
  int ColdLimit = 2;
  int WarmLimit = 8;
  std::int64_t WarmMs = 50;
  double MsPerToken = 2;
  standin::CrashEffect OnCrash = standin::CrashEffect::Reset;
};

struct EngineNode {
  std::string Id, Zone, Address;
  std::unique_ptr<standin::Engine> Served;
  std::unique_ptr<HttpServer> Server;
  bool Dead = false; // closes every connection without an answer
};

struct EntryNode {
  EntryNode() : Guard(Io.get_executor()) {}

  asio::io_context Io;
  WorkGuard Guard;
  Settings Config;
  std::unique_ptr<Entry> Running;
  bool Paused = false;
  bool ShutDown = false; // its graceful shutdown is over
};

class Fleet : public testing::Test {
protected:
  Fleet();
  ~Fleet() override;

  // Starts everything and waits until every entry sees every group serve.
  void form(const FleetShape &Wanted);

  // Starts an entry that knows Seeds.
  EntryNode &addEntry(const std::string &Id, const std::string &Zone,
                      const std::vector<std::string> &Seeds);
  EngineNode &addEngine(const std::string &Id, const std::string &Zone,
                        const std::string &Domain);
  // The process of an engine ends: its connections break, nothing listens.
  void killEngine(EngineNode &Node);
  // The process of an entry ends at once.
  void kill(const std::string &Id);
  void listInstance(const Json &Item);

  // Runs everything that is due, or waits briefly for something.
  void turn();
  // Runs until Done returns true or Limit has passed; returns Done's value.
  bool until(const std::function<bool()> &Done, Duration Limit);
  // Runs for Span, for tests that something does not happen.
  void run(Duration Span);

  // Calls a stand-in's handler without a connection.
  template <typename Node>
  Json control(Node &To, const std::string &Method, const std::string &Path,
               const Json &Body = Json::object());
  Json faults(EngineNode &To, const Json &Body) {
    return control(*To.Served, "POST", "/control/faults", Body);
  }
  Json platformFaults(const Json &Body) {
    return control(*Store, "POST", "/control/faults", Body);
  }
  Json counters(EngineNode &Of) {
    return control(*Of.Served, "GET", "/control/counters");
  }
  // Requests that reached Of, those it refused included.
  std::int64_t attempts(EngineNode &Of);
  // Sum of the counter Name over all engines.
  std::int64_t sum(const std::string &Name);

  // Calls an entry's caller port and runs until the answer is there.
  Answer call(const std::string &Entry, const std::string &Method,
              const std::string &Path, const std::string &Body = "",
              HttpHeaders Headers = {});
  Answer operatorCall(const std::string &Entry, const std::string &Method,
                      const std::string &Path, const Json &Body = Json());
  Json status(const std::string &Entry);
  // Whether Entry sees Count groups that serve, in Zone if given.
  bool serves(const std::string &Entry, std::size_t Count,
              const std::string &Zone = "");

  // Starts a streamed completion at Entry.
  StreamPtr stream(const std::string &Entry, const std::string &Prompt,
                   int MaxTokens, HttpHeaders Headers = {},
                   const std::string &Key = FirstKey);
  void hangUp(StreamPtr &Stream);
  bool ended(const std::vector<StreamPtr> &Streams, Duration Limit);
  // Starts streams until PerEntry are in progress at each entry of At. Call it
  // from the condition of until() to keep them so.
  void keepLoad(const std::vector<std::string> &At, int PerEntry,
                int MaxTokens);
  // Returns all streams of keepLoad and forgets them.
  std::vector<StreamPtr> takeLoad();
  std::vector<std::string> entryIds() const;
  // Fails the test unless Stream holds all tokens in order and the end mark, or
  // a part of them and an error with a result code.
  static void checkAnswered(const CallerStream &Stream);
  static void checkWhole(const CallerStream &Stream);

  std::string url(const std::string &Entry) const;

  FleetShape Shape;
  asio::io_context Io;
  WorkGuard Guard{Io.get_executor()};
  HttpClient Client{Io};
  std::unique_ptr<standin::Platform> Store;
  std::unique_ptr<HttpServer> StoreServer;
  std::string StoreAddress;
  std::map<std::string, EngineNode> Engines;
  std::unique_ptr<standin::Service> Plain;
  std::unique_ptr<HttpServer> PlainServer;
  std::map<std::string, std::unique_ptr<EntryNode>> Entries;
  std::map<std::string, std::vector<StreamPtr>> Load;

private:
  void createObjects();
  void putObject(const std::string &Kind, const std::string &Name,
                 const Json &Value);
};

// Keeps the answer of a handler that is called without a connection.
class CapturingResponder final : public standin::Responder {
public:
  void send(int Status, std::string Text, HttpHeaders) override {
    Code = Status;
    Body = std::move(Text);
  }
  void startStream(const HttpHeaders &) override {}
  void write(std::string) override {}
  void finish() override {}
  void drop() override {}
  void onBroken(std::function<void()>) override {}

  int Code = 0;
  std::string Body;
};

template <typename Node>
Json Fleet::control(Node &To, const std::string &Method,
                    const std::string &Path, const Json &Body) {
  standin::Request From;
  From.Method = Method;
  From.Path = Path;
  From.Body = Body.dump();
  auto Kept = std::make_shared<CapturingResponder>();
  To.handle(From, Kept);
  EXPECT_EQ(Kept->Code, 200) << Path << ": " << Kept->Body;
  return Json::parse(Kept->Body, nullptr, false);
}

} // namespace samphirehill::system_test

#endif // SAMPHIREHILL_TEST_SYSTEM_FLEET_H

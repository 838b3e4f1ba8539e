// Tests what an entry knows that starts when no other entry lives. The entry
// uses real sockets, with a caller and scripted upstreams on loopback.
#include "samphirehill/Serving/ServingEntry.h"

#include "Serving/Loopback.h"
#include "Serving/MemoryStore.h"
#include "Serving/TestFleet.h"
#include "Serving/TestWire.h"

#include <gtest/gtest.h>

#include <asio/read.hpp>

namespace samphirehill::serving {
namespace {

class ServingEntryRestartTest : public testing::Test {
protected:
  ServingEntryRestartTest() : Timers(Context), Pool(Context, Timers) {
    Settings.Entry = EntryId("edge-1");
    Settings.Zone = ZoneId("north");
    Settings.RetrySlack = 1'000;
  }

  // Starts the entry, or starts it again at other ports. The former process
  // gets no more requests, and its reports reach nobody.
  void start() {
    for (SocketAddress *Each : {&Settings.Callers, &Settings.Readiness,
                                &Settings.Peers, &Settings.Metrics})
      *Each = {"127.0.0.1", freePort()};
    InstanceCalls Calls;
    Calls.Order = [](const Instance &, const GroupOrder &, auto, auto) {};
    Calls.Report = [](const Instance &, auto) {};
    auto Created = capture([&] {
      return ServingEntry::create(
          Context, Timers, Pool, Metrics, Settings,
          Adapter{testWire(), Store.functions(), Calls, "/ready"});
    });
    ASSERT_FALSE(errorOf(Created));
    Entries.push_back(std::move(std::get<0>(Created)));
    Entries.back()->applyConfiguration(configuration());
    for (const Instance &Each : Listed)
      Entries.back()->applyListChange(
          {Each.Id.str(), ++Revision, false, ListedInstance{Each, {}}});
    TimePoint End = Timers.now() + milliseconds(20);
    runUntil(Context, [&] { return Timers.now() >= End; });
  }

  static Configuration configuration() {
    Configuration Config = testConfiguration();
    Route Safe;
    Safe.Name = Safe.PathPrefix = "/safe/";
    Safe.Host = "h";
    Safe.Kind = RequestKind::Safe;
    Safe.Anonymous = true;
    Safe.Timeout = seconds(3);
    Safe.MaxAttempts = 3;
    Safe.Services = {{PlainService, 1}};
    Config.Routes = RouteTable::create({std::make_shared<const Route>(Safe)});
    return Config;
  }

  // Adds an instance of the plain service that answers according to Script.
  void addInstance(const std::string &Id, ScriptedServer::Script Script) {
    Engines.push_back(
        std::make_unique<ScriptedServer>(Context, std::move(Script)));
    Instance Plain;
    Plain.Id = InstanceId(Id);
    Plain.Service = PlainService;
    Plain.Zone = Settings.Zone;
    Plain.Slots = 4;
    Plain.BornMilliseconds = 1;
    Plain.Address = {"127.0.0.1", Engines.back()->port()};
    Listed.push_back(Plain);
  }

  // Returns the answer to a request on a new connection to Port.
  std::string get(std::uint16_t Port, const std::string &Path) {
    asio::ip::tcp::socket Client(Context);
    Client.connect({asio::ip::make_address("127.0.0.1"), Port});
    asio::write(Client, asio::buffer("GET " + Path +
                                     " HTTP/1.1\r\nHost: h\r\nid: r1\r\n"
                                     "Connection: close\r\n\r\n"));
    std::string Received;
    bool Closed = false;
    asio::async_read(Client, asio::dynamic_buffer(Received),
                     [&](std::error_code, std::size_t) { Closed = true; });
    EXPECT_TRUE(runUntil(Context, [&] { return Closed; }));
    return Received;
  }

  int requests() const {
    int Sum = 0;
    for (const auto &Each : Engines)
      Sum += Each->requests();
    return Sum;
  }

  asio::io_context Context;
  TimerService Timers;
  ExchangePool Pool;
  ServingMetrics Metrics;
  MemoryStore Store;
  ServingSettings Settings;
  std::vector<Instance> Listed;
  std::vector<std::unique_ptr<ScriptedServer>> Engines;
  std::vector<std::unique_ptr<ServingEntry>> Entries; // by start
  std::int64_t Revision = 0;
};

// Guards against a request that crashes three more upstreams each time that all
// entries are killed at once, since nobody remembers it (BUDGET).
TEST_F(ServingEntryRestartTest, RefusesRequestThatCrashedUpstreamsBefore) {
  for (const char *Id : {"i1", "i2", "i3", "i4"})
    addInstance(Id, [](ScriptedConnection &To, int) { To.close(); });
  start();
  EXPECT_TRUE(get(Settings.Callers.Port, "/safe/x").starts_with("HTTP/1.1 50"));
  EXPECT_EQ(requests(), 3);
  start();
  EXPECT_TRUE(
      get(Settings.Callers.Port, "/safe/x").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(requests(), 3);
}

TEST_F(ServingEntryRestartTest, IsReadyOnceTheCrashRecordsAreRead) {
  addInstance("i1", [](ScriptedConnection &, int) {});
  Store.Down = true;
  start();
  auto IsReady = [&] {
    return get(Settings.Readiness.Port, "/ready").starts_with("HTTP/1.1 200");
  };
  EXPECT_FALSE(IsReady());
  Store.Down = false;
  TimePoint End = Timers.now() + milliseconds(1'000);
  EXPECT_TRUE(runUntil(Context, IsReady));
  EXPECT_LT(Timers.now(), End);
}

TEST_F(ServingEntryRestartTest, ReadsBlamedPartsAtStartButNotAtTheFirst) {
  start();
  EXPECT_EQ(Store.Calls["list blames"], 1);
  Settings.FirstStart = true;
  start();
  EXPECT_EQ(Store.Calls["list blames"], 1);
}

// The store may answer some calls only.
TEST_F(ServingEntryRestartTest, GetsReadyWhenTheCrashRecordsCannotBeRead) {
  addInstance("i1", [](ScriptedConnection &, int) {});
  Store.Down = true;
  start();
  EXPECT_TRUE(runUntil(Context, [&] {
    return get(Settings.Readiness.Port, "/ready").starts_with("HTTP/1.1 200");
  }));
}

// Guards against a request that crashes the same few instances again and again,
// as they start under their former names (BUDGET).
TEST_F(ServingEntryRestartTest, CountsEachLifeOfAnInstanceThatIsCrashed) {
  addInstance("i1", [](ScriptedConnection &To, int) { To.close(); });
  start();
  for (int Crash = 1; Crash <= 4; ++Crash) {
    get(Settings.Callers.Port, "/safe/x");
    Listed[0].BornMilliseconds = Crash + 1;
    Entries.back()->applyListChange(
        {"i1", ++Revision, false, ListedInstance{Listed[0], {}}});
    TimePoint End = Timers.now() + seconds(1);
    runUntil(Context, [&] { return Timers.now() >= End; });
  }
  EXPECT_EQ(requests(), 3);
}

// Guards against a retry limit that stays in force after operators changed it,
// for as long as no other entry is known.
TEST_F(ServingEntryRestartTest, AppliesChangedRetryLimitWithoutOtherEntries) {
  for (const char *Id : {"i1", "i2"})
    addInstance(Id, [](ScriptedConnection &To, int) { To.close(); });
  start();
  ServingSettings Changed = Settings;
  Changed.RetrySlack = 0;
  Changed.RetryRatio = 0;
  Entries.back()->reload(Changed);
  EXPECT_TRUE(get(Settings.Callers.Port, "/safe/x").starts_with("HTTP/1.1 50"));
  EXPECT_EQ(requests(), 1);
}

} // namespace
} // namespace samphirehill::serving

// Tests how an entry reacts to changes of the list of instances and to notices
// from instances. The entry uses real sockets, with a caller and scripted
// engines on loopback, and a store that accepts all writes.
#include "samphirehill/Serving/ServingEntry.h"

#include "Serving/Loopback.h"
#include "Serving/TestFleet.h"
#include "Serving/TestWire.h"

#include <gtest/gtest.h>

#include <asio/ip/udp.hpp>

namespace samphirehill::serving {
namespace {

class ServingEntryTest : public testing::Test {
protected:
  ServingEntryTest() : Timers(Context), Pool(Context, Timers) {
    Settings.Entry = EntryId("edge-1");
    Settings.Zone = ZoneId("north");
    for (SocketAddress *Each : {&Settings.Callers, &Settings.Readiness,
                                &Settings.Peers, &Settings.Metrics})
      *Each = {"127.0.0.1", freePort()};
    Settings.RetrySlack = 100;
    Settings.Drain = seconds(1);
    auto Created = capture([&] {
      return ServingEntry::create(
          Context, Timers, Pool, Metrics, Settings,
          Adapter{testWire(), acceptingStore(), silentCalls(), "/ready"});
    });
    EXPECT_FALSE(errorOf(Created));
    Entry = std::move(std::get<0>(Created));
    Configuration Config = testConfiguration();
    addRoute(Config, "/safe/", RequestKind::Safe, PlainService);
    addRoute(Config, "/stream/", RequestKind::Stream, PoolService);
    addRoute(Config, "/unsafe/", RequestKind::Unsafe, PlainService);
    Entry->applyConfiguration(Config);
  }

  static ObjectStore acceptingStore() {
    ObjectStore Store;
    Store.Read = [](const std::string &, const std::string &, auto Done) {
      Done(std::optional<StoredObject>());
    };
    Store.List = [](const std::string &, auto Done) {
      Done(std::vector<StoredObject>());
    };
    Store.Write = [](const std::string &, const StoredObject &Object,
                     auto Done) { Done(Object); };
    return Store;
  }

  // Calls to instances that never complete.
  InstanceCalls silentCalls() const {
    InstanceCalls Calls;
    Calls.OnAnswer = OnControlAnswer;
    Calls.Order = [](const Instance &, const GroupOrder &, auto, auto) {};
    Calls.Report = [](const Instance &, auto) {};
    return Calls;
  }

  static void addRoute(Configuration &Config, const std::string &Prefix,
                       RequestKind Kind, const ServiceId &Service) {
    Route Added;
    Added.Name = Prefix;
    Added.Host = "h";
    Added.PathPrefix = Prefix;
    Added.Kind = Kind;
    Added.Anonymous = true;
    Added.Timeout = seconds(3);
    Added.Services = {{Service, 1}};
    std::vector<SharedRoute> Routes = Config.Routes.routes();
    Routes.push_back(std::make_shared<const Route>(Added));
    Config.Routes = RouteTable::create(std::move(Routes));
  }

  // Adds an instance to the list or changes it there; with Removed, removes it.
  void list(const Instance &Listed, bool Removed = false) {
    Entry->applyListChange(
        {Listed.Id.str(), ++Revision, Removed, ListedInstance{Listed, {}}});
  }

  // Has the store restored from a copy in which the list holds Copied only.
  void restoreList(const Instance &Copied) {
    auto Era = std::make_shared<std::int64_t>(1);
    PlatformReader Reader;
    Reader.Era = [Era] { return *Era; };
    Entry->setPlatformReader(Reader);
    std::optional<InstanceRecord> Known = Entry->instance(Copied.Id);
    std::vector<ListChange> Before;
    if (Known)
      Before.push_back({Copied.Id.str(), Revision, false,
                        ListedInstance{Known->Listed, seconds(5)}, *Era});
    Entry->replaceList(Before, false);
    ++*Era;
    Entry->replaceList(
        {{Copied.Id.str(), 1, false, ListedInstance{Copied, {}}, *Era}}, true);
  }

  // Adds an instance of the plain service to the list, which answers according
  // to Script.
  Instance plainInstance(const std::string &Id, const std::string &Zone,
                         ScriptedServer::Script Script) {
    Instance Plain;
    Plain.Id = InstanceId(Id);
    Plain.Service = PlainService;
    Plain.Zone = ZoneId(Zone);
    Plain.Slots = 4;
    Plain.BornMilliseconds = 1;
    Plain.Address = serve(std::move(Script));
    list(Plain);
    return Plain;
  }

  SocketAddress serve(ScriptedServer::Script Script) {
    Engines.push_back(
        std::make_unique<ScriptedServer>(Context, std::move(Script)));
    return {"127.0.0.1", Engines.back()->port()};
  }

  // Sends a request on a new connection and returns the complete response,
  // headers included.
  std::string post(const std::string &Path) {
    asio::ip::tcp::socket Client(Context);
    Client.connect(
        {asio::ip::make_address("127.0.0.1"), Settings.Callers.Port});
    asio::write(Client, asio::buffer("POST " + Path +
                                     "1 HTTP/1.1\r\nHost: h\r\nid: r1\r\n"
                                     "Connection: close\r\n"
                                     "Content-Length: 0\r\n\r\n"));
    std::string Received;
    std::array<char, 4'096> Buffer{};
    bool Closed = false;
    std::function<void()> Read = [&] {
      Client.async_read_some(asio::buffer(Buffer),
                             [&](std::error_code Failed, std::size_t Size) {
                               Received.append(Buffer.data(), Size);
                               Closed = static_cast<bool>(Failed);
                               if (!Closed)
                                 Read();
                             });
    };
    Read();
    EXPECT_TRUE(runUntil(Context, [&] { return Closed; }));
    return Received;
  }

  // Stops the entry with Grace and ends it like a process when it has stopped.
  void stop(Duration Grace) {
    ServingSettings Changed = Settings;
    Changed.Grace = Grace;
    Entry->reload(Changed);
    Entry->shutDown([this] { asio::post(Context, [this] { Entry.reset(); }); });
  }

  static bool succeededWith(const std::string &Answer,
                            const std::string &Body) {
    return Answer.starts_with("HTTP/1.1 200") &&
           Answer.find(Body) != std::string::npos;
  }

  // Sends Report to the entry from the socket Of.
  void sendReport(asio::ip::udp::socket &Of, const EntryReport &Report) {
    Of.send_to(asio::buffer(encodeMessage({Report, {}}, Timers.now())),
               {asio::ip::make_address("127.0.0.1"), Settings.Peers.Port});
  }

  // Returns the next message that the socket Of receives from the entry.
  std::optional<EntryMessage> receiveMessage(asio::ip::udp::socket &Of) {
    std::array<char, 65'536> Buffer{};
    std::optional<std::size_t> Size;
    Of.async_receive(asio::buffer(Buffer),
                     [&](std::error_code Failed, std::size_t Received) {
                       if (!Failed)
                         Size = Received;
                     });
    if (!runUntil(Context, [&] { return Size.has_value(); }))
      return std::nullopt;
    return decodeMessage(std::string(Buffer.data(), *Size), Timers.now());
  }

  void runFor(Duration Length) {
    TimePoint End = Timers.now() + Length;
    runUntil(Context, [&] { return Timers.now() >= End; });
  }

  asio::io_context Context;
  TimerService Timers;
  ExchangePool Pool;
  ServingMetrics Metrics;
  AnswerCallback OnControlAnswer = std::make_shared<
      std::function<void(const InstanceLife &, const AnswerFacts &)>>();
  ServingSettings Settings;
  std::unique_ptr<ServingEntry> Entry;
  std::vector<std::unique_ptr<ScriptedServer>> Engines;
  std::int64_t Revision = 0;
};

// An instance in the entry's zone that answers "near", and one in another zone
// that answers "far". Another entry reports the limits of the first.
class ServingEntryLimitTest : public ServingEntryTest {
protected:
  ServingEntryLimitTest()
      : Socket(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Near = plainInstance("i1", "north", [](ScriptedConnection &To, int) {
      To.send(answer("200 OK\r\nid: r1\r\nseal: s", "near"));
    });
    plainInstance("i2", "south", [](ScriptedConnection &To, int) {
      To.send(answer("200 OK\r\nid: r1\r\nseal: s", "far"));
    });
    Other.Entry = EntryId("edge-2");
    Other.Zone = ZoneId("north");
    Other.Life = 1;
    runFor(milliseconds(20));
  }

  InstanceLife life() const { return {Near.Id, Near.BornMilliseconds}; }

  void report(std::optional<double> PerSecond) {
    ++Other.Sequence;
    Other.Limits = {{life(), PerSecond, Timers.now()}};
    sendReport(Socket, Other);
    runFor(milliseconds(20));
  }

  asio::ip::udp::socket Socket;
  Instance Near;
  EntryReport Other;
};

TEST_F(ServingEntryTest, SendsNothingToLeavingIncarnationWhenListShowsItReady) {
  Instance Leaving = plainInstance(
      "i1", "north", [](ScriptedConnection &Connection, int Number) {
        Connection.send(answer(Number == 1
                                   ? "200 OK\r\nid: r1\r\nseal: s\r\nleaving: 1"
                                   : "200 OK\r\nid: r1\r\nseal: s",
                               "first"));
      });
  plainInstance("i2", "south", [](ScriptedConnection &Connection, int) {
    Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
  });
  runFor(milliseconds(20));
  EXPECT_TRUE(succeededWith(post("/safe/"), "first"));
  EXPECT_TRUE(succeededWith(post("/safe/"), "second"));
  list(Leaving); // listed as ready although it has sent a leaving notice
  list(Leaving, true);
  list(Leaving);
  runFor(milliseconds(20));
  EXPECT_TRUE(succeededWith(post("/safe/"), "second"));
  EXPECT_EQ(Engines[0]->requests(), 1);
  Leaving.BornMilliseconds = 2; // restarted under the same name
  list(Leaving);
  runFor(milliseconds(20));
  EXPECT_TRUE(succeededWith(post("/safe/"), "first"));
}

TEST_F(ServingEntryLimitTest, KeepsToTheLimitThatAnotherEntryReports) {
  EXPECT_TRUE(succeededWith(post("/safe/"), "near"));
  report(0.01);
  for (int Sent = 0; Sent < 4; ++Sent)
    EXPECT_TRUE(succeededWith(post("/safe/"), "far"));
  EXPECT_EQ(Engines[0]->requests(), 1);
  report(std::nullopt);
  EXPECT_TRUE(succeededWith(post("/safe/"), "near"));
}

TEST_F(ServingEntryLimitTest, KeepsLimitWhenControlAnswersDoNotStateIt) {
  report(0.01);
  (*OnControlAnswer)(life(), AnswerFacts{});
  EXPECT_TRUE(succeededWith(post("/safe/"), "far"));
  EXPECT_EQ(Engines[0]->requests(), 0);
}

TEST_F(ServingEntryLimitTest, TellsOtherEntriesTheLimitInAControlAnswer) {
  report(std::nullopt);
  AnswerFacts Answer;
  Answer.Limit = 2.5;
  (*OnControlAnswer)(life(), Answer);
  auto IsTold = [&] {
    std::optional<EntryMessage> Heard = receiveMessage(Socket);
    return Heard && !Heard->Own.Limits.empty() &&
           Heard->Own.Limits[0].Of == life() &&
           Heard->Own.Limits[0].PerSecond == 2.5;
  };
  bool Told = false;
  for (int Message = 0; Message < 5 && !Told; ++Message)
    Told = IsTold();
  EXPECT_TRUE(Told);
}

// Incident SHORT: a group went out of service as soon as one member's object
// was missing from the list.
TEST_F(ServingEntryTest, UsesActiveGroupForPartOfDrainTimeWhenMemberLapses) {
  SocketAddress Head = serve([](ScriptedConnection &Connection, int) {
    Connection.send(
        answer("200 OK\r\nid: r1\r\nseal: s", "id: 1\ndata: x\n\n"));
  });
  Instance Lapsing;
  for (int Rank = 0; Rank < 4; ++Rank) {
    Lapsing = member("m" + std::to_string(Rank), "large.7", 7, Rank,
                     Rank == 0 ? MemberPhase::Open : MemberPhase::Ready);
    Lapsing.Address = Head;
    list(Lapsing);
  }
  runFor(milliseconds(20));
  EXPECT_TRUE(succeededWith(post("/stream/"), "data: x"));
  list(Lapsing, true);
  runFor(milliseconds(20));
  EXPECT_TRUE(succeededWith(post("/stream/"), "data: x"));
  runFor(Settings.Drain * 3 / 4);
  int RequestsBefore = Engines[0]->requests();
  EXPECT_TRUE(post("/stream/").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(Engines[0]->requests(), RequestsBefore);
  list(Lapsing);
  runFor(milliseconds(20));
  EXPECT_TRUE(succeededWith(post("/stream/"), "data: x"));
}

// Guards against a restarted entry that lets a request crash engines again
// because it hears only of the latest crashes (BUDGET).
TEST_F(ServingEntryTest, TellsStartedEntryWhichRequestsAreRefused) {
  asio::ip::udp::endpoint Any(asio::ip::make_address("127.0.0.1"), 0);
  asio::ip::udp::socket First(Context, Any);
  asio::ip::udp::socket Started(Context, Any);
  EntryReport Crashed;
  Crashed.Entry = EntryId("edge-2");
  Crashed.Zone = ZoneId("north");
  Crashed.Life = Crashed.Sequence = 1;
  for (std::uint64_t Upstream : {10, 11, 12})
    Crashed.BreakOffs.push_back({7, Upstream, Timers.now() - seconds(20)});
  sendReport(First, Crashed);
  ASSERT_TRUE(receiveMessage(First));
  runFor(milliseconds(2'500));
  EntryReport Joins;
  Joins.Entry = EntryId("edge-3");
  Joins.Zone = ZoneId("north");
  Joins.Life = Joins.Sequence = 1;
  sendReport(Started, Joins);
  TimePoint SentAt = Timers.now();
  std::optional<EntryMessage> Heard = receiveMessage(Started);
  ASSERT_TRUE(Heard);
  EXPECT_EQ(Heard->Own.BreakOffs.size(), 3U);
  EXPECT_LT(toMilliseconds(Timers.now() - SentAt), 150);
}

TEST_F(ServingEntryTest, StopsUsingIdleGroupWhenMemberLapses) {
  Instance Lapsing;
  for (int Rank = 0; Rank < 4; ++Rank) {
    Lapsing = member("m" + std::to_string(Rank), "large.7", 7, Rank,
                     Rank == 0 ? MemberPhase::Open : MemberPhase::Ready);
    Lapsing.Address = serve([](ScriptedConnection &, int) {});
    list(Lapsing);
  }
  runFor(milliseconds(20));
  list(Lapsing, true);
  runFor(milliseconds(20));
  EXPECT_TRUE(post("/stream/").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(Engines[0]->requests(), 0);
}

// Guards against requests to an instance that leaves (DRAIN): the restored
// store lists it as it was before it said so, until it writes that again.
TEST_F(ServingEntryTest,
       SendsNothingToLeavingInstanceThatTheRestoredStoreLists) {
  for (bool Removed : {false, true}) {
    Instance Ready = plainInstance(
        Removed ? "gone" : "leaving", "north", [](ScriptedConnection &To, int) {
          To.send(answer("200 OK\r\nid: r1\r\nseal: s", "x"));
        });
    runFor(milliseconds(20));
    ASSERT_TRUE(succeededWith(post("/safe/"), "x"));
    Instance Leaving = Ready;
    Leaving.Draining = true;
    list(Leaving);
    if (Removed)
      list(Leaving, true);
    restoreList(Ready);
    runFor(milliseconds(20));
    EXPECT_FALSE(succeededWith(post("/safe/"), "x")) << Removed;
  }
}

// Guards against too many requests to a cold instance (FAILBACK): the restored
// store lists it as it was in its earlier life, or before it turned cold.
TEST_F(ServingEntryTest, KeepsInstanceColdThatTheRestoredStoreListsAsWarm) {
  for (bool Restarted : {false, true}) {
    Instance Warm = plainInstance(Restarted ? "restarted" : "cold", "north",
                                  [](ScriptedConnection &, int) {});
    Instance Cold = Warm;
    Cold.BornMilliseconds = Restarted ? 2 : 1;
    list(Cold);
    restoreList(Warm);
    std::optional<InstanceRecord> Known = Entry->instance(Warm.Id);
    ASSERT_TRUE(Known);
    EXPECT_EQ(Known->Listed.BornMilliseconds, Cold.BornMilliseconds);
    EXPECT_GT(Known->ColdUntil, Timers.now() + seconds(4));
  }
}

// Guards against requests that are passed on late in a planned stop and cut off
// at its end. The caller waits for 3 s.
TEST_F(ServingEntryTest, RefusesRequestThatMayOutliveTheStop) {
  TimerSubscription AnswerTimer;
  plainInstance("i1", "north", [&](ScriptedConnection &Connection, int) {
    AnswerTimer = Timers.after(seconds(2), [&Connection] {
      Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "late"));
    });
  });
  runFor(milliseconds(20));
  stop(seconds(4));
  runFor(seconds(2));
  EXPECT_TRUE(post("/unsafe/").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(Engines[0]->requests(), 0);
}

TEST_F(ServingEntryTest, AcceptsRequestThatEndsBeforeTheStop) {
  plainInstance("i1", "north", [](ScriptedConnection &Connection, int) {
    Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "done"));
  });
  runFor(milliseconds(20));
  EXPECT_TRUE(succeededWith(post("/safe/"), "done")); // usually takes no time
  stop(seconds(4));
  EXPECT_TRUE(succeededWith(post("/unsafe/"), "done"));
  runFor(milliseconds(1'500));
  EXPECT_TRUE(succeededWith(post("/safe/"), "done"));
}

// A request that is still in progress at the end gets an answer that tells the
// truth: it may have run.
TEST_F(ServingEntryTest, AnswersRequestsInProgressAtEndOfStop) {
  plainInstance("i1", "north", [](ScriptedConnection &, int) {});
  runFor(milliseconds(20));
  TimerSubscription StopTimer =
      Timers.after(milliseconds(200), [this] { stop(seconds(3)); });
  EXPECT_TRUE(post("/unsafe/").starts_with("HTTP/1.1 502"));
  EXPECT_EQ(Engines[0]->requests(), 1);
}

// The objects of the entries in the platform's store, which can be restored.
class ServingEntryJoinTest : public testing::Test {
protected:
  ServingEntryJoinTest() : Timers(Context), Pool(Context, Timers) {
    Settings.Entry = EntryId("edge-1");
    Settings.Zone = ZoneId("north");
    for (SocketAddress *Each : {&Settings.Callers, &Settings.Readiness,
                                &Settings.Peers, &Settings.Metrics})
      *Each = {"127.0.0.1", freePort()};
    auto Created = capture([&] {
      return ServingEntry::create(Context, Timers, Pool, Metrics, Settings,
                                  Adapter{testWire(), store(), {}, "/ready"});
    });
    EXPECT_FALSE(errorOf(Created));
    Entry = std::move(std::get<0>(Created));
    PlatformReader Reader;
    Reader.Era = [this] { return Era; };
    Entry->setPlatformReader(Reader);
  }

  ObjectStore store() {
    ObjectStore Store;
    Store.Read = [](const std::string &, const std::string &, auto Done) {
      Done(Error{ResultCode::PlatformUnavailable, "no duty"});
    };
    Store.List = [this](const std::string &, auto Done) {
      std::vector<StoredObject> All;
      for (const auto &[Name, Each] : Entries)
        All.push_back(Each);
      Done(All);
    };
    Store.Write = [this](const std::string &, const StoredObject &Object,
                         auto Done) {
      auto Found = Entries.find(Object.Name);
      if (Found == Entries.end() && Object.Revision != 0)
        return Done(Error{ResultCode::NotFound, "no such object"});
      std::int64_t Known = Found == Entries.end() ? 0 : Found->second.Revision;
      if (Object.Revision != Known)
        return Done(Error{ResultCode::Conflict, "revision"});
      StoredObject Written = Object;
      Written.Revision = ++Revision;
      Entries[Object.Name] = Written;
      Done(Written);
    };
    return Store;
  }

  bool awaitEntry(const std::string &Name) {
    return runUntil(Context, [&] { return Entries.contains(Name); });
  }

  asio::io_context Context;
  TimerService Timers;
  ExchangePool Pool;
  ServingMetrics Metrics;
  ServingSettings Settings;
  std::int64_t Era = 1;
  std::int64_t Revision = 0;
  std::map<std::string, StoredObject> Entries;
  std::unique_ptr<ServingEntry> Entry;
};

// Guards against an entry that no newcomer knows: its object is lost when the
// store is restored, and was written again at a revision that doesn't exist.
TEST_F(ServingEntryJoinTest, JoinsAgainWhenItsObjectIsLost) {
  ASSERT_TRUE(awaitEntry("edge-1"));
  Entries.clear();
  ++Era;
  Entry->noteStoreRestored();
  EXPECT_TRUE(awaitEntry("edge-1"));
}

} // namespace
} // namespace samphirehill::serving

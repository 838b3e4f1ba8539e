// Tests of an entry and its feed on real sockets, with a scripted store and
// datagrams that the test sends as a relay.
#include "Feed.h"

#include "Serving/Loopback.h"
#include "Serving/TestWire.h"

#include <gtest/gtest.h>

#include <asio/ip/udp.hpp>
#include <nlohmann/json.hpp>

namespace samphirehill::platform {
namespace {

using nlohmann::json;
using serving::EntryMessage;
using serving::EntryReport;
using serving::runUntil;
using serving::ScriptedConnection;
using serving::ScriptedServer;
using serving::StoredObject;

// Store that answers lists with the objects that the test has written, and
// watches when the test requests it, when there are changes, or when their wait
// is over.
class ScriptedStore {
public:
  ScriptedStore(asio::io_context &Context, TimerService &Timers)
      : Timers(Timers), Server(Context, [this](ScriptedConnection &From, int) {
          answerRequest(From);
        }) {}

  StoreAccess access(serving::ExchangePool &Pool, TimerService &Timers,
                     serving::ServingMetrics &Metrics) const {
    return {Pool, Timers, {"127.0.0.1", Server.port()}, Metrics};
  }

  // Writes the configuration. Pending watches aren't answered.
  void writeConfiguration(std::int64_t Version) {
    Configuration = {{"metadata", {{"name", "main"}, {"revision", ++Revision}}},
                     {"spec",
                      {{"version", Version},
                       {"routes", json::array()},
                       {"backends", {{{"name", "app"}}}},
                       {"tenants", json::array()},
                       {"limits", json::object()}}}};
  }

  // Writes an instance's entry; Spec need not be JSON. Pending watches aren't
  // answered.
  void writeInstance(const std::string &Name, const std::string &Spec) {
    ++Revision;
    Instances[Revision] = R"({"metadata":{"name":")" + Name +
                          R"(","revision":)" + std::to_string(Revision) +
                          R"(},"spec":)" + Spec + R"(,"status":null})";
  }

  // Restores the store from a copy as of To: instances written since are gone.
  void restore(std::int64_t To) {
    ++Era;
    Revision = To;
    Instances.erase(Instances.upper_bound(To), Instances.end());
  }

  // Resets the connection of the last watch of Kind.
  void resetWatch(const std::string &Kind) {
    Waits.erase(Kind);
    Watches.at(Kind)->reset();
  }

  // Answers the last watch of Kind.
  void answerWatch(const std::string &Kind) {
    Waits.erase(Kind);
    sendChanges(*Watches.at(Kind), Kind, Revisions.at(Kind));
  }

  // Returns how many watches of Kind have been received.
  int watches(const std::string &Kind) const {
    auto Found = Counts.find(Kind);
    return Found == Counts.end() ? 0 : Found->second;
  }

private:
  void answerRequest(ScriptedConnection &From) {
    const std::string &Head = Server.Heads.back();
    constexpr std::string_view Path = "/-/objects/";
    std::size_t Begin = Head.find(Path) + Path.size();
    std::string Kind =
        Head.substr(Begin, Head.find_first_of("? ", Begin) - Begin);
    if (Head.find("watch=") == std::string::npos) {
      From.send(serving::answer(statusLine(),
                                R"({"items":[)" + join(objectsSince(Kind, 0)) +
                                    R"(],"store_revision":)" +
                                    std::to_string(Revision) + "}"));
      return;
    }
    ++Counts[Kind];
    Watches[Kind] = &From;
    Revisions[Kind] = numberAfter(Head, "watch=");
    if (!objectsSince(Kind, Revisions[Kind]).empty())
      return sendChanges(From, Kind, Revisions[Kind]);
    Waits[Kind] = Timers.after(
        milliseconds(numberAfter(Head, "wait_ms=")),
        [this, &From, Kind] { sendChanges(From, Kind, Revision); });
  }

  static std::int64_t numberAfter(const std::string &Head,
                                  std::string_view Mark) {
    return std::stoll(Head.substr(Head.find(Mark) + Mark.size()));
  }

  std::vector<std::string> objectsSince(const std::string &Kind,
                                        std::int64_t Since) const {
    std::vector<std::string> Found;
    if (Kind == "config" && Configuration["metadata"]["revision"] > Since)
      Found.push_back(Configuration.dump());
    if (Kind != "servers")
      return Found;
    for (const auto &[Written, Text] : Instances) {
      if (Written > Since)
        Found.push_back(Text);
    }
    return Found;
  }

  static std::string join(const std::vector<std::string> &Parts) {
    std::string Joined;
    for (const std::string &Part : Parts)
      Joined += (Joined.empty() ? "" : ",") + Part;
    return Joined;
  }

  void sendChanges(ScriptedConnection &To, const std::string &Kind,
                   std::int64_t Since) {
    std::vector<std::string> Events = objectsSince(Kind, Since);
    for (std::string &Event : Events)
      Event = R"({"removed":false,"object":)" + Event + "}";
    To.send(serving::answer(statusLine(), R"({"events":[)" + join(Events) +
                                              R"(],"store_revision":)" +
                                              std::to_string(Revision) + "}"));
  }

  // Returns the status of answers and the header that names the era.
  std::string statusLine() const {
    return "200 OK\r\nStore-Era: " + std::to_string(Era);
  }

  TimerService &Timers;
  json Configuration;
  std::map<std::int64_t, std::string> Instances; // as JSON, by revision
  std::int64_t Revision = 100;
  int Era = 1;
  std::map<std::string, ScriptedConnection *> Watches;
  std::map<std::string, std::int64_t> Revisions; // from which watches ask
  std::map<std::string, int> Counts;
  std::map<std::string, TimerSubscription> Waits;
  ScriptedServer Server;
};

const std::string ValidEntry =
    R"({"backend":"app","address":"127.0.0.1:9","zone":"north",)"
    R"("phase":"ready","capacity_slots":4,"born":1,"seq":1})";

// Fixture with an entry and twelve other entries of its zone that are only
// listed in the store; the test sends the messages of one of them, edge-2, as a
// relay.
class FeedTest : public testing::Test {
protected:
  FeedTest()
      : Timers(Context), Pool(Context, Timers), Store(Context, Timers),
        Relay(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Store.writeConfiguration(1);
    Settings.Entry = EntryId("edge-1");
    Settings.Zone = ZoneId("north");
    Settings.Drain = seconds(3);
    for (SocketAddress *Address : {&Settings.Callers, &Settings.Readiness,
                                   &Settings.Peers, &Settings.Metrics})
      *Address = {"127.0.0.1", serving::freePort()};
    auto Created = capture([&] {
      return serving::ServingEntry::create(
          Context, Timers, Pool, Metrics, Settings,
          {serving::testWire(), entriesOnlyStore(), silentCalls(), "/ready"});
    });
    EXPECT_FALSE(errorOf(Created));
    Entry = std::move(std::get<0>(Created));
  }

  // Starts the feed and waits until it watches the store.
  void startFeed() {
    StoreFeed.emplace(Store.access(Pool, Timers, Metrics), *Entry);
    StoreFeed->start();
    runUntil(Context, [&] {
      return Store.watches("config") > 0 && Store.watches("servers") > 0;
    });
  }

  bool hasMetric(const std::string &Metric) const {
    return Metrics.text().find("samphirehill_" + Metric + "\n") !=
           std::string::npos;
  }

  bool awaitMetric(const std::string &Metric) {
    return runUntil(Context, [&] { return hasMetric(Metric); });
  }

  // Returns a store that keeps entries and refuses writes of other objects, so
  // that the entry can't acquire the group duty.
  static serving::ObjectStore entriesOnlyStore() {
    auto Entries = std::make_shared<std::vector<StoredObject>>();
    for (int Number = 2; Number <= 13; ++Number)
      Entries->push_back({"edge-" + std::to_string(Number), 1,
                          json{{"peers", "127.0.0.1:9"},
                               {"zone", "north"},
                               {"processor_share", 1.0}}
                              .dump()});
    serving::ObjectStore Store;
    Store.Read = [](const std::string &, const std::string &, auto Done) {
      Done(std::optional<StoredObject>());
    };
    Store.List = [Entries](const std::string &, auto Done) { Done(*Entries); };
    Store.Write = [Entries](const std::string &Kind, const StoredObject &Object,
                            auto Done) {
      if (Kind != "entries")
        return Done(
            Error{ResultCode::PlatformUnavailable, "only entries are stored"});
      Entries->push_back(Object);
      Done(Object);
    };
    return Store;
  }

  static serving::InstanceCalls silentCalls() {
    serving::InstanceCalls Calls;
    Calls.Order = [](const auto &, const auto &, auto, auto) {};
    Calls.Report = [](const auto &, auto) {};
    return Calls;
  }

  // Sends the entry a relay's report: the relay follows the store up to
  // ListRevision in Era, or doesn't follow the store (0). The zones out of
  // service are as of that revision.
  void sendRelayReport(std::int64_t ListRevision, std::int64_t Era = 1,
                       std::set<ZoneId> ZonesOut = {}) {
    EntryMessage Message;
    Message.Own.Entry = EntryId("edge-2");
    Message.Own.Life = 1;
    Message.Own.Sequence = ++Sequence;
    Message.Own.Zone = Settings.Zone;
    Message.Own.ListRevision = ListRevision;
    Message.Own.StoreEra = Era;
    Message.Own.ZonesOut = std::move(ZonesOut);
    Message.Own.ZonesOutMark = {Era, ListRevision};
    EntryReport Summary = Message.Own;
    Summary.Included[EntryId("edge-2")] = Sequence;
    Message.Summaries = {Summary};
    Relay.send_to(asio::buffer(encodeMessage(Message, Timers.now())),
                  {asio::ip::make_address("127.0.0.1"), Settings.Peers.Port});
  }

  asio::io_context Context;
  TimerService Timers;
  serving::ExchangePool Pool;
  serving::ServingMetrics Metrics;
  ScriptedStore Store;
  asio::ip::udp::socket Relay;
  ServingSettings Settings;
  std::unique_ptr<serving::ServingEntry> Entry;
  std::optional<Feed> StoreFeed;
  std::uint64_t Sequence = 0;
};

// Incident CONFIG: an entry stopped its watches because of a relay that
// reported only for a moment, didn't resume them, and kept an outdated
// configuration for the rest of the day.
TEST_F(FeedTest, ResumesWatchesWhenRelayStopsFollowingTheStore) {
  startFeed();
  int WatchesBefore = Store.watches("config");
  sendRelayReport(100);
  ASSERT_TRUE(runUntil(Context, [&] { return Entry->followsRelay(); }));
  Store.writeConfiguration(2);
  Store.answerWatch("config");
  ASSERT_TRUE(awaitMetric("configuration_version 2"));
  sendRelayReport(0);
  ASSERT_TRUE(runUntil(Context, [&] { return !Entry->followsRelay(); }));
  EXPECT_TRUE(runUntil(
      Context, [&] { return Store.watches("config") > WatchesBefore; }));
}

// Guards against followers that keep to what the store said before it was
// restored (CONFIG, EVAC): its revisions are lower afterwards.
TEST_F(FeedTest, TakesZonesOutOfRestoredStoreFromRelay) {
  Store.writeInstance("sound", ValidEntry);
  startFeed();
  ASSERT_TRUE(awaitMetric("upstreams 1"));
  sendRelayReport(100, 2, {Settings.Zone});
  EXPECT_TRUE(awaitMetric("upstreams 0"));
}

TEST_F(FeedTest, ReadsTheStoreWhenARelayKnowsThatItWasRestored) {
  startFeed();
  ASSERT_TRUE(awaitMetric("configuration_version 1"));
  sendRelayReport(100);
  ASSERT_TRUE(runUntil(Context, [&] { return Entry->followsRelay(); }));
  for (const char *Kind : {"config", "servers", "evacuations"})
    Store.answerWatch(Kind);
  Store.restore(90);
  Store.writeConfiguration(2);
  TimePoint Begin = Timers.now();
  sendRelayReport(91, 2);
  EXPECT_TRUE(awaitMetric("configuration_version 2"));
  EXPECT_TRUE(awaitMetric("store_era 2"));
  // Sooner than a difference between the lists makes the entry read.
  EXPECT_LT(toMilliseconds(Timers.now() - Begin), 900);
}

struct InvalidEntry {
  const char *Name;
  std::string Spec;
};

// Returns ValidEntry with Fields appended; a field that occurs twice has the
// last value.
std::string entryWith(const std::string &Fields) {
  return ValidEntry.substr(0, ValidEntry.size() - 1) + "," + Fields + "}";
}

// Returns an object that contains arrays nested Levels deep.
std::string nested(std::size_t Levels) {
  return R"({"n":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}";
}

// A writer other than the instances has left an invalid entry among their
// entries.
class FeedInvalidEntryTest : public FeedTest,
                             public testing::WithParamInterface<InvalidEntry> {
};

// Incident CONFIG: one invalid entry made the complete list of instances
// unreadable, and the watch of the configuration waited for that list.
TEST_P(FeedInvalidEntryTest, AppliesOtherEntriesOfTheList) {
  Store.writeInstance("odd", GetParam().Spec);
  Store.writeInstance("sound", ValidEntry);
  startFeed();
  EXPECT_TRUE(awaitMetric("upstreams 1"));
  Store.resetWatch("config");
  Store.writeConfiguration(2);
  EXPECT_TRUE(awaitMetric("configuration_version 2"));
}

TEST_P(FeedInvalidEntryTest, AppliesOtherEntriesOfAWatchAnswer) {
  Store.writeInstance("sound", ValidEntry);
  startFeed();
  ASSERT_TRUE(awaitMetric("upstreams 1"));
  Store.writeInstance("odd", GetParam().Spec);
  Store.writeInstance("second", ValidEntry);
  Store.answerWatch("servers");
  EXPECT_TRUE(awaitMetric("upstreams 2"));
}

INSTANTIATE_TEST_SUITE_P(
    InvalidEntries, FeedInvalidEntryTest,
    testing::Values(
        InvalidEntry{"NoObject", "1"},
        InvalidEntry{"LargeNumber", R"({"n":1e999})"},
        InvalidEntry{"NoUtf8", "{\"n\":\"\xff\xfe\"}"},
        InvalidEntry{"ControlCharacter", "{\"n\":\"\x01\"}"},
        InvalidEntry{"LoneSurrogate", R"({"n":"\ud800"})"},
        InvalidEntry{"NoJson", R"({"n":nan})"},
        InvalidEntry{"DeeplyNested", nested(400'000)},
        InvalidEntry{"PortZero", R"({"backend":"app","address":"127.0.0.1:0",)"
                                 R"("zone":"north","phase":"ready",)"
                                 R"("capacity_slots":4,"born":1})"},
        InvalidEntry{"PortOutOfRange",
                     R"({"backend":"app","address":"127.0.0.1:99999",)"
                     R"("zone":"north","phase":"ready",)"
                     R"("capacity_slots":4,"born":1})"},
        InvalidEntry{"LargeColdTime",
                     entryWith(R"("cold_remaining_ms":1e300)")},
        InvalidEntry{"LargeBirth", entryWith(R"("born":18446744073709551615)")},
        InvalidEntry{
            "LongText",
            entryWith(R"("domain":")" + std::string(100'000, 'd') + R"(")")}),
    [](const auto &Info) { return Info.param.Name; });

} // namespace
} // namespace samphirehill::platform

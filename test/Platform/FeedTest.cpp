// An entry and its feed on real sockets, between a scripted store and datagrams
// of a relay.
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

// Answers lists with what the test has put in, and watches when the test says
// so or their wait is over.
class ScriptedStore {
public:
  ScriptedStore(asio::io_context &Context, TimerService &Timers)
      : Timers(Timers),
        Server(Context, [this](ScriptedConnection &From, int) { take(From); }) {
  }

  StoreAccess access(serving::ExchangePool &Pool, TimerService &Timers,
                     serving::ServingMetrics &Metrics) const {
    return {Pool, Timers, {"127.0.0.1", Server.port()}, Metrics};
  }

  // Writes the configuration; watches in progress are not told.
  void configure(std::int64_t Version) {
    Configuration = {{"metadata", {{"name", "main"}, {"revision", ++Revision}}},
                     {"spec",
                      {{"version", Version},
                       {"routes", json::array()},
                       {"backends", {{{"name", "app"}}}},
                       {"tenants", json::array()},
                       {"limits", json::object()}}}};
  }

  // Writes an instance's entry; Spec need not be JSON. Watches in progress are
  // not told.
  void list(const std::string &Name, const std::string &Spec) {
    ++Revision;
    Instances[Revision] = R"({"metadata":{"name":")" + Name +
                          R"(","revision":)" + std::to_string(Revision) +
                          R"(},"spec":)" + Spec + R"(,"status":null})";
  }

  // Resets the watch of Kind that came last.
  void resetWatch(const std::string &Kind) {
    Waits.erase(Kind);
    Watches.at(Kind)->reset();
  }

  // Answers the watch of Kind that came last.
  void answerWatch(const std::string &Kind) {
    Waits.erase(Kind);
    sendChanges(*Watches.at(Kind), Kind, Revisions.at(Kind));
  }

  int watches(const std::string &Kind) const {
    auto Found = Counts.find(Kind);
    return Found == Counts.end() ? 0 : Found->second;
  }

private:
  void take(ScriptedConnection &From) {
    const std::string &Head = Server.Heads.back();
    constexpr std::string_view Path = "/-/objects/";
    std::size_t Begin = Head.find(Path) + Path.size();
    std::string Kind =
        Head.substr(Begin, Head.find_first_of("? ", Begin) - Begin);
    if (Head.find("watch=") == std::string::npos) {
      From.send(serving::answer("200 OK", R"({"items":[)" +
                                              join(objectsSince(Kind, 0)) +
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
    for (const std::string &Each : Parts)
      Joined += (Joined.empty() ? "" : ",") + Each;
    return Joined;
  }

  void sendChanges(ScriptedConnection &To, const std::string &Kind,
                   std::int64_t Since) {
    std::vector<std::string> Events = objectsSince(Kind, Since);
    for (std::string &Each : Events)
      Each = R"({"removed":false,"object":)" + Each + "}";
    To.send(serving::answer("200 OK", R"({"events":[)" + join(Events) +
                                          R"(],"store_revision":)" +
                                          std::to_string(Revision) + "}"));
  }

  TimerService &Timers;
  json Configuration;
  std::map<std::int64_t, std::string> Instances; // as JSON, by revision
  std::int64_t Revision = 100;
  std::map<std::string, ScriptedConnection *> Watches;
  std::map<std::string, std::int64_t> Revisions; // that watches asked from
  std::map<std::string, int> Counts;
  std::map<std::string, TimerSubscription> Waits;
  ScriptedServer Server;
};

// Twelve other entries of the zone, which the test speaks for.
class FeedTest : public testing::Test {
protected:
  FeedTest()
      : Timers(Context), Pool(Context, Timers), Store(Context, Timers),
        Relay(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    Store.configure(1);
    Settings.Entry = EntryId("edge-1");
    Settings.Zone = ZoneId("north");
    Settings.Drain = seconds(3);
    for (SocketAddress *Each : {&Settings.Callers, &Settings.Readiness,
                                &Settings.Peers, &Settings.Metrics})
      *Each = {"127.0.0.1", serving::freePort()};
    auto Created = capture([&] {
      return serving::ServingEntry::create(
          Context, Timers, Pool, Metrics, Settings,
          {serving::testWire(), entriesOnly(), silentCalls(), "/ready"});
    });
    EXPECT_FALSE(errorOf(Created));
    Entry = std::move(std::get<0>(Created));
  }

  // Begins to follow the store.
  void follow() {
    Followed.emplace(Store.access(Pool, Timers, Metrics), *Entry);
    Followed->start();
    runUntil(Context, [&] {
      return Store.watches("config") > 0 && Store.watches("servers") > 0;
    });
  }

  bool reports(const std::string &Metric) const {
    return Metrics.text().find("samphirehill_" + Metric + "\n") !=
           std::string::npos;
  }

  bool awaitMetric(const std::string &Metric) {
    return runUntil(Context, [&] { return reports(Metric); });
  }

  // Holds the entries and takes no other object, so that no duty is taken.
  static serving::ObjectStore entriesOnly() {
    auto Entries = std::make_shared<std::vector<StoredObject>>();
    for (int Number = 2; Number <= 13; ++Number)
      Entries->push_back({"edge-" + std::to_string(Number), 1,
                          json{{"peers", "127.0.0.1:9"},
                               {"zone", "north"},
                               {"processor_share", 1.0}}
                              .dump()});
    serving::ObjectStore Made;
    Made.Read = [](const std::string &, const std::string &, auto Done) {
      Done(std::optional<StoredObject>());
    };
    Made.List = [Entries](const std::string &, auto Done) { Done(*Entries); };
    Made.Write = [Entries](const std::string &Kind, const StoredObject &Object,
                           auto Done) {
      if (Kind != "entries")
        return Done(Error{ResultCode::PlatformUnavailable, "not held here"});
      Entries->push_back(Object);
      Done(Object);
    };
    return Made;
  }

  static serving::InstanceCalls silentCalls() {
    serving::InstanceCalls Calls;
    Calls.Order = [](const auto &, const auto &, auto, auto) {};
    Calls.Report = [](const auto &, auto) {};
    return Calls;
  }

  // Tells the entry, as a relay, that the relay follows the store up to
  // ListRevision, or doesn't (0).
  void tell(std::int64_t ListRevision) {
    EntryMessage Message;
    Message.Own.Entry = EntryId("edge-2");
    Message.Own.Life = 1;
    Message.Own.Sequence = ++Sequence;
    Message.Own.Zone = Settings.Zone;
    Message.Own.ListRevision = ListRevision;
    EntryReport Sum = Message.Own;
    Sum.Included[EntryId("edge-2")] = Sequence;
    Message.Summaries = {Sum};
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
  std::optional<Feed> Followed;
  std::uint64_t Sequence = 0;
};

// Incident CONFIG: an entry that had heard a relay for a moment kept its
// configuration for the rest of the day.
TEST_F(FeedTest, ResumesWatchesWhenRelayStopsFollowingTheStore) {
  follow();
  int Before = Store.watches("config");
  tell(100);
  ASSERT_TRUE(runUntil(Context, [&] { return Entry->platformTold(); }));
  Store.configure(2);
  Store.answerWatch("config");
  ASSERT_TRUE(awaitMetric("configuration_version 2"));
  tell(0);
  ASSERT_TRUE(runUntil(Context, [&] { return !Entry->platformTold(); }));
  EXPECT_TRUE(
      runUntil(Context, [&] { return Store.watches("config") > Before; }));
}

struct InvalidEntry {
  const char *Name;
  std::string Spec;
};

const std::string SoundEntry =
    R"({"backend":"app","address":"127.0.0.1:9","zone":"north",)"
    R"("phase":"ready","capacity_slots":4,"born":1,"seq":1})";

// Returns the entry of a sound instance with Fields put in.
std::string entryWith(const std::string &Fields) {
  return SoundEntry.substr(0, SoundEntry.size() - 1) + "," + Fields + "}";
}

// Returns an object with an array of Levels levels.
std::string nested(std::size_t Levels) {
  return R"({"n":)" + std::string(Levels, '[') + std::string(Levels, ']') + "}";
}

// Another writer has left an entry among those of the instances.
class FeedInvalidEntryTest : public FeedTest,
                             public testing::WithParamInterface<InvalidEntry> {
};

// Incident CONFIG: one odd entry made the whole list unreadable, and the watch
// of the configuration waited for it.
TEST_P(FeedInvalidEntryTest, AppliesOtherEntriesOfTheList) {
  Store.list("odd", GetParam().Spec);
  Store.list("sound", SoundEntry);
  follow();
  EXPECT_TRUE(awaitMetric("upstreams 1"));
  Store.resetWatch("config");
  Store.configure(2);
  EXPECT_TRUE(awaitMetric("configuration_version 2"));
}

TEST_P(FeedInvalidEntryTest, AppliesOtherEntriesOfAWatchAnswer) {
  Store.list("sound", SoundEntry);
  follow();
  ASSERT_TRUE(awaitMetric("upstreams 1"));
  Store.list("odd", GetParam().Spec);
  Store.list("second", SoundEntry);
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
    [](const auto &Each) { return Each.param.Name; });

} // namespace
} // namespace samphirehill::platform

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
                       {"backends", json::array()},
                       {"tenants", json::array()},
                       {"limits", json::object()}}}};
  }

  // Answers the watch of Kind that came last.
  void answerWatch(const std::string &Kind) {
    json Events = json::array();
    if (Kind == "config")
      Events.push_back({{"removed", false}, {"object", Configuration}});
    Waits.erase(Kind);
    reply(*Watches.at(Kind),
          {{"events", Events}, {"store_revision", Revision}});
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
    if (Head.find("watch=") != std::string::npos) {
      ++Counts[Kind];
      Watches[Kind] = &From;
      constexpr std::string_view Wait = "wait_ms=";
      int Length = std::stoi(Head.substr(Head.find(Wait) + Wait.size()));
      Waits[Kind] = Timers.after(milliseconds(Length), [this, &From] {
        reply(From, {{"events", json::array()}, {"store_revision", Revision}});
      });
      return;
    }
    json Items = json::array();
    if (Kind == "config")
      Items.push_back(Configuration);
    reply(From, {{"items", Items}, {"store_revision", Revision}});
  }

  static void reply(ScriptedConnection &To, const json &Body) {
    To.send(serving::answer("200 OK", Body.dump()));
  }

  TimerService &Timers;
  json Configuration;
  std::int64_t Revision = 100;
  std::map<std::string, ScriptedConnection *> Watches;
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
    Followed.emplace(Store.access(Pool, Timers, Metrics), *Entry);
    Followed->start();
    runUntil(Context, [&] { return Store.watches("config") > 0; });
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
TEST_F(FeedTest, FollowsTheStoreAgainWhenARelayWasHeardForAMoment) {
  int Before = Store.watches("config");
  tell(100);
  ASSERT_TRUE(runUntil(Context, [&] { return Entry->platformTold(); }));
  Store.configure(2);
  Store.answerWatch("config");
  ASSERT_TRUE(runUntil(Context, [&] {
    return Metrics.text().find("configuration_version 2") != std::string::npos;
  }));
  tell(0);
  ASSERT_TRUE(runUntil(Context, [&] { return !Entry->platformTold(); }));
  EXPECT_TRUE(
      runUntil(Context, [&] { return Store.watches("config") > Before; }));
}

} // namespace
} // namespace samphirehill::platform

// Several record controllers in one process, linked over loopback, with the
// stand-in platform and a stand-in service whose executions can be counted.
#ifndef SAMPHIREHILL_TEST_DAEMON_RECORDWORLD_H
#define SAMPHIREHILL_TEST_DAEMON_RECORDWORLD_H

#include "Standins/StandinFixture.h"
#include "peer.pb.h"
#include "samphirehill/Config/Secret.h"
#include "samphirehill/Daemon/RecordController.h"
#include "standin-platform/Platform.h"
#include "standin-service/Service.h"

#include <asio/ip/tcp.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace samphirehill {

// A caller's connection that keeps the answer.
class FakeExchange : public HttpExchange {
public:
  explicit FakeExchange(std::string Body) : Sent(std::move(Body)) {}

  const std::string &method() const override { return Method; }
  const std::string &path() const override { return Path; }
  const std::string &query() const override { return Query; }
  const HttpHeaders &headers() const override { return Headers; }
  const std::string &body() const override { return Sent; }
  void respond(int Status, const HttpHeaders &Given,
               std::string Body) override {
    ++Answers;
    Answer = HttpResponse{Status, Given, std::move(Body)};
  }
  void start(int, const HttpHeaders &) override {}
  void write(std::string) override {}
  void finish() override {}
  void abort() override {}
  void onClosed(std::function<void()>) override {}

  int code() const {
    std::string Text = findHeader(Answer.Headers, "Samphirehill-Result");
    return Text.empty() ? -1 : std::stoi(Text);
  }
  bool replayed() const {
    return findHeader(Answer.Headers, "Idempotency-Replayed") == "true";
  }

  int Answers = 0;
  int Ends = 0; // calls of Ended
  HttpResponse Answer;
  HttpHeaders Headers;

private:
  std::string Method = "POST", Path = "/services/booking/actions/book", Query;
  std::string Sent;
};
using Ask = std::shared_ptr<FakeExchange>;

class RecordWorld : public standin::StandinFixture {
protected:
  struct Process {
    Process(RecordWorld &World, std::size_t Number, Settings Config)
        : Shared(World.Io, std::move(Config), Number),
          Hub(std::get<0>(capture([&] { return PeerHub::create(Shared); }))),
          Store(makeHttpPlatform(Shared.Http,
                                 {World.PlatformAddress, milliseconds(300)})),
          Credits(Shared, *Hub), Dispatch(Shared, Credits, Directory),
          Crashes(Shared, *Hub, [] { return std::vector<EntryId>(); }),
          Calls(Shared, Dispatch, Credits, Crashes, Directory) {}

    CallParts parts() {
      return {Shared, Dispatch,  Credits, Crashes,
              Calls,  Directory, Retries, Runs};
    }

    Runtime Shared;
    std::unique_ptr<PeerHub> Hub;
    std::unique_ptr<Platform> Store;
    UpstreamDirectory Directory;
    CreditController Credits;
    Dispatcher Dispatch;
    CrashController Crashes;
    UpstreamCalls Calls;
    RetryBudgets Retries;
    RunEstimates Runs;
    std::unique_ptr<RecordController> Records;
  };

  explicit RecordWorld(std::size_t Count = 3) {
    PlatformServer = standin::listen(
        Io, "127.0.0.1:0",
        [this](const auto &From, const auto &To) { Stored.handle(From, To); });
    PlatformAddress = "127.0.0.1:" + std::to_string(PlatformServer->port());
    serve(
        [this](const auto &From, const auto &To) { Booked.handle(From, To); });
    Boot = BootId(body(call("GET", "/status")).at("bootId"));
    makeText();
    std::vector<PeerAddress> Addresses;
    for (std::size_t I = 0; I < Count; ++I) {
      Settings Config;
      Config.Entry = EntryId("e" + std::to_string(I));
      Config.Zone = ZoneId("mu-1");
      Config.Peers = SocketAddress{"127.0.0.1", freePort()};
      Config.PeerKey = Secret("0123456789abcdef0123456789abcdef");
      Addresses.push_back({Config.Entry, Config.Peers.str()});
      Live.push_back(Config.Entry);
      Entries.push_back(std::make_unique<Process>(*this, I, Config));
    }
    createShards();
    for (auto &Each : Entries)
      Each->Hub->setPeers(Addresses);
    connectEntries();
    for (auto &Each : Entries) {
      addUpstream(*Each);
      Each->Records = std::make_unique<RecordController>(
          Each->parts(), *Each->Hub, *Each->Store, Texts,
          RecordPeers{[this] { return Live; },
                      [this](const EntryId &Entry, Incarnation) {
                        return Gone.contains(Entry);
                      }});
    }
  }

  void makeText() {
    TextFields Fields;
    Fields.Operator = "lumen";
    Fields.Zones = {{ZoneId("mu-1"), "mauritius"}};
    Service Booking;
    Booking.Name = ServiceId("booking");
    Booking.Kind = ServiceKind::Plain;
    Booking.Instances = {"booking-*"};
    Booking.NonRepeatable = {{"POST", "/actions/**"}};
    Fields.Services = {Booking};
    Organisation Who;
    Who.Name = OrganisationId("port-louis");
    Who.KeyDigests = {sha256Hex("a key of an organisation")};
    Fields.Organisations = {Who};
    Outcome<OperatorsText> Text =
        capture([&] { return OperatorsText::create(Fields); });
    EXPECT_EQ(errorOf(Text), nullptr)
        << (errorOf(Text) ? errorOf(Text)->Message : "");
    Texts.put(std::get<0>(Text), 1);
  }

  // Each entry has an upstream of its own; all are the same service process.
  void addUpstream(Process &Of) {
    UpstreamId Name("booking-" + Of.Shared.Config.Entry.str());
    UpstreamStatus Status;
    Status.Info = {Name, ZoneId("mu-1"), ServiceId("booking"), "", {}, Boot,
                   64};
    Status.Address = Address;
    Status.Serving = true;
    Of.Directory.put(Status, Of.Shared.Timers.now(), seconds(3600));
    Of.Credits.setHome(Name, Of.Shared.Config.Entry);
    HomeOpening Opening;
    Opening.Upstream = Name;
    Opening.Boot = Boot;
    Opening.ColdLimit = Opening.WarmLimit = Opening.StartLimit = 64;
    Opening.HighestLimit = 64;
    Opening.FirstHome = Opening.PastIsComplete = true;
    Opening.Borrowers.Zone = {Of.Shared.Config.Entry};
    Of.Credits.open(Opening);
  }

  // Returns once each entry has heard each other one: messages are lost until
  // their connection stands.
  void connectEntries() {
    std::set<std::pair<std::string, std::string>> Heard;
    for (auto &Each : Entries)
      Each->Hub->Received.connect(
          [&Heard, this, To = Each->Shared.Config.Entry.str()](
              const peer::Envelope &Message) {
            if (Connecting)
              Heard.insert({Message.sender(), To});
          });
    auto Send = [&] {
      peer::Envelope Message;
      Message.mutable_heartbeat();
      for (auto &From : Entries)
        for (auto &To : Entries)
          From->Hub->send(To->Shared.Config.Entry, Message);
    };
    auto Repeat = Entries[0]->Shared.Timers.every(milliseconds(20), Send);
    std::size_t All = Entries.size() * (Entries.size() - 1);
    runUntil([&] { return Heard.size() == All; });
    Connecting = false;
  }

  static std::uint16_t freePort() {
    asio::io_context Context;
    asio::ip::tcp::acceptor Acceptor(Context,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    return Acceptor.local_endpoint().port();
  }

  // Creates the shards' objects, or empties them, as no program ever does.
  void createShards(bool Empty = false) {
    std::size_t Done = 0;
    Platform &Store = *Entries[0]->Store;
    auto Write = [&](ObjectKey Key, std::uint64_t Version) {
      Store.writeObject(Key, Version, toJson(ShardObject()), "setup",
                        [&](const auto &) { ++Done; });
    };
    for (std::size_t I = 0; I < ShardCount; ++I) {
      ObjectKey Key{RecordsKind, std::to_string(I)};
      if (!Empty)
        Write(Key, 0);
      else
        Store.readObject(Key, [&, Key](const Outcome<Object> &Value) {
          Write(Key, errorOf(Value) ? 0 : std::get<0>(Value).Version);
        });
    }
    runUntil([&] { return Done == ShardCount; });
  }

  Ask start(std::size_t Entry, const std::string &Key, const std::string &Body,
            Duration Deadline = seconds(5)) {
    auto Exchange = std::make_shared<FakeExchange>(Body);
    Exchange->Headers = {{"Idempotency-Key", Key},
                         {"Authorization", "Bearer a key of an organisation"}};
    RequestContext Request = request(Entry, Exchange);
    Request.IdempotencyKey = Key;
    Request.Deadline = Request.Arrived + Deadline;
    Entries[Entry]->Records->keyed(std::move(Request),
                                   [Exchange] { ++Exchange->Ends; });
    return Exchange;
  }
  Ask ask(std::size_t Entry, const std::string &Key,
          const std::string &Body = "b", Duration Deadline = seconds(5)) {
    Ask Asked = start(Entry, Key, Body, Deadline);
    runUntil([&] { return Asked->Answers > 0; });
    EXPECT_EQ(Asked->Answers, 1);
    EXPECT_EQ(Asked->Ends, 1);
    return Asked;
  }
  std::string issue(std::size_t Entry) {
    auto Exchange = std::make_shared<FakeExchange>("");
    RequestContext Request = request(Entry, Exchange);
    Entries[Entry]->Records->issueKey(Request);
    return standin::Json::parse(Exchange->Answer.Body).at("key");
  }
  RequestContext request(std::size_t Entry,
                         const std::shared_ptr<FakeExchange> &Exchange) {
    RequestContext Request;
    Request.Exchange = Exchange;
    Request.Id = Entries[Entry]->Shared.nextRequestId();
    Request.Arrived = Entries[Entry]->Shared.Timers.now();
    Request.Kind = RequestKind::Plain;
    Request.ServicePath = "/actions/book";
    Request.Who = Texts.findCaller("a key of an organisation");
    Request.Target = Request.Who.Text->findService(ServiceId("booking"));
    Request.NonRepeatable = true;
    return Request;
  }

  // The entry that owns the shard of Key.
  std::size_t ownerOf(const std::string &Key) const {
    std::size_t Shard = shardOf(OrganisationId("port-louis"), Key);
    EntryId Owner = rendezvousOwner(Shard, Live);
    return static_cast<std::size_t>(Owner.str().back() - '0');
  }
  std::string keyOwnedBy(std::size_t Entry) {
    for (;;) {
      std::string Key = "key-" + std::to_string(++LastKey);
      if (ownerOf(Key) == Entry)
        return Key;
    }
  }

  // The process of an entry ends; its peers learn it if Told.
  void kill(std::size_t Entry, bool Told = true) {
    Entries[Entry]->Records.reset();
    if (!Told)
      return;
    EntryId Name = Entries[Entry]->Shared.Config.Entry;
    std::erase(Live, Name);
    Gone.insert(Name);
    for (auto &Each : Entries)
      if (Each->Records)
        Each->Records->entryGone({Name, Entries[Entry]->Shared.Started});
  }

  void setPlatformFaults(const standin::Json &Faults) {
    std::string Service = std::exchange(Address, PlatformAddress);
    setFaults(Faults);
    Address = Service;
  }
  standin::Json executed() {
    return body(call("GET", "/control/executions")).at("items");
  }
  // Executions of each request body.
  std::map<std::string, int> executions() {
    std::map<std::string, int> Counts;
    for (const auto &Item : executed())
      ++Counts[Item.at("body").get<std::string>()];
    return Counts;
  }

  standin::Platform Stored{Io, {}};
  standin::Service Booked{Io, {"booking", 2, 256}};
  std::unique_ptr<HttpServer> PlatformServer;
  std::string PlatformAddress;
  BootId Boot;
  Catalogue Texts;
  std::vector<EntryId> Live;
  std::set<EntryId> Gone;
  std::vector<std::unique_ptr<Process>> Entries;
  int LastKey = 0;
  bool Connecting = true;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_TEST_DAEMON_RECORDWORLD_H

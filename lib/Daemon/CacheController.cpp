#include "samphirehill/Daemon/CacheController.h"

#include "peer.pb.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr Duration ReadPeriod = seconds(1);
constexpr Duration ReadTimeout = seconds(2);
// Events of one answer that are used. Hints may be lost, and the rest comes
// with the next reading.
constexpr std::size_t MaxEvents = 2048;

// Parses a prefix id of 16 hexadecimal digits.
std::optional<PrefixHash> prefixOf(const std::string &Text) {
  PrefixHash Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Failed] = std::from_chars(Text.data(), End, Value, 16);
  if (Failed != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

void addEvent(peer::CacheEvents &Message, const Json &Event) {
  if (!Event.is_object() || !Event.contains("prefix") ||
      !Event["prefix"].is_string() || !Event.contains("sequence") ||
      !Event["sequence"].is_number_unsigned())
    return;
  peer::CacheEvent &Added = *Message.add_events();
  Added.set_sequence(Event["sequence"].get<std::uint64_t>());
  Added.set_stored(Event.contains("type") && Event["type"] == "stored");
  Added.set_prefix(Event["prefix"].get<std::string>());
}

} // namespace

CacheController::CacheController(Runtime &Shared, PeerHub &Hub,
                                 MembershipController &Membership,
                                 CreditController &Credits,
                                 UpstreamDirectory &Directory)
    : Shared(Shared), Hub(Hub), Membership(Membership), Credits(Credits),
      Directory(Directory) {
  Hub.handle(peer::Envelope::kCacheEvents,
             [this](const auto &Message) { apply(Message); });
  Tick = Shared.Timers.every(ReadPeriod, [this] { tick(); });
}

void CacheController::tick() {
  for (const auto &[Name, Entry] : Directory.entries()) {
    // Plain services have no fabric domain and no prefix cache.
    bool Reads = Entry.Status.Serving && Credits.isHome(Name) &&
                 !Entry.Status.Info.Version.empty();
    if (Reads)
      read(Name, Entry.Status.Address);
  }
}

void CacheController::read(const UpstreamId &Name, const std::string &Address) {
  if (!InFlight.insert(Name).second)
    return;
  HttpRequest Request;
  Request.Url = "http://" + Address +
                "/cache-events?after=" + std::to_string(Sources[Name].Last);
  Request.Timeout = ReadTimeout;
  Shared.Http.send(std::move(Request), [this, Name](const auto &Value) {
    InFlight.erase(Name);
    const auto *Response = std::get_if<HttpResponse>(&Value);
    if (Response && Response->Status == 200)
      receive(Name, Response->Body);
  });
}

void CacheController::receive(const UpstreamId &Name, const std::string &Body) {
  Json Answer = Json::parse(Body, nullptr, false);
  if (!Answer.is_object() || !Answer.contains("bootId") ||
      !Answer["bootId"].is_string() || !Answer.contains("events") ||
      !Answer["events"].is_array())
    return;
  Source &Known = Sources[Name];
  BootId Boot(Answer["bootId"].get<std::string>());
  if (Known.Boot != Boot)
    Known = Source{Boot, 0};
  peer::Envelope Envelope;
  peer::CacheEvents &Message = *Envelope.mutable_cache_events();
  Message.set_upstream(Name.str());
  Message.set_boot_id(Boot.str());
  if (Answer.contains("oldest") && Answer["oldest"].is_number_unsigned())
    Message.set_oldest(Answer["oldest"].get<std::uint64_t>());
  for (const Json &Event : Answer["events"]) {
    if (static_cast<std::size_t>(Message.events_size()) >= MaxEvents)
      break;
    addEvent(Message, Event);
  }
  if (Message.events_size() == 0)
    return;
  Known.Last = Message.events(Message.events_size() - 1).sequence();
  apply(Envelope);
  for (const EntryId &Peer : liveZoneEntries(Membership.liveness()))
    if (Peer != Shared.Config.Entry)
      Hub.send(Peer, Envelope);
}

void CacheController::apply(const peer::Envelope &Envelope) {
  const peer::CacheEvents &Message = Envelope.cache_events();
  UpstreamId Name(Message.upstream());
  BootId Boot(Message.boot_id());
  for (const peer::CacheEvent &Each : Message.events()) {
    std::optional<PrefixHash> Prefix = prefixOf(Each.prefix());
    if (!Prefix)
      continue;
    Directory.hints().apply(
        Name, Boot,
        CacheEvent{Each.sequence(),
                   Each.stored() ? CacheEvent::Stored : CacheEvent::Evicted,
                   *Prefix});
  }
  Directory.hints().noteGap(Name, Message.oldest());
  Shared.Counters.count("cache_events_total", Message.events_size());
}

} // namespace samphirehill

#include "samphirehill/Config/Settings.h"

#include "AddressReader.h"
#include "TomlReader.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace samphirehill {
namespace {

constexpr const char *AllowedAddress =
    "must be \"<IP>:<port>\" with an IP number (IPv6 in brackets) and a port "
    "from 1 to 65535";

std::optional<SocketAddress> readAddress(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string Host(Text.substr(0, Colon));
  std::string_view Digits = Text.substr(Colon + 1);
  bool Bracketed = Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  if (Bracketed)
    Host = Host.substr(1, Host.size() - 2);
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  if (inet_pton(Bracketed ? AF_INET6 : AF_INET, Host.c_str(), Bytes.data()) !=
      1)
    return std::nullopt;
  std::uint16_t Port = 0;
  const char *End = Digits.data() + Digits.size();
  auto [Rest, Status] = std::from_chars(Digits.data(), End, Port);
  if (Status != std::errc() || Rest != End || Port == 0)
    return std::nullopt;
  return SocketAddress{Host, Port};
}

Secret secretAt(TableReader &Reader, std::string_view Key) {
  constexpr std::size_t ShortestKey = 16; // bytes
  return Secret(Reader.secret(
      Key, [](std::string_view Value) { return Value.size() >= ShortestKey; },
      "must be a string of at least 16 bytes"));
}

void readListen(TableReader Listen, Settings &Into) {
  Into.Callers = addressAt(Listen, "callers");
  Into.Operators = addressAt(Listen, "operators");
  Into.Peers = addressAt(Listen, "peers");
  if (Into.Operators.Port != 0 && Into.Operators == Into.Callers)
    Listen.refuse("operators", "must differ from listen.callers");
  if (Into.Peers.Port != 0 &&
      (Into.Peers == Into.Callers || Into.Peers == Into.Operators))
    Listen.refuse("peers", "must differ from the other listen addresses");
  Listen.refuseUnknownKeys();
}

void readSeeds(TableReader &Root, Settings &Into) {
  std::map<EntryId, std::size_t> Seen;
  for (TableReader &Reader : Root.tables("seeds")) {
    SeedPeer Seed{EntryId(Reader.name("entry")), addressAt(Reader, "address")};
    if (!Seed.Entry.empty() && !Seen.emplace(Seed.Entry, 0).second)
      Reader.refuse("entry", "must differ from the other seeds");
    if (!Seed.Entry.empty() && Seed.Entry == Into.Entry)
      Reader.refuse("entry", "must name another entry than this one");
    Reader.refuseUnknownKeys();
    Into.Seeds.push_back(std::move(Seed));
  }
}

void readLimits(TableReader Limits, Settings &Into) {
  constexpr std::int64_t LowestBytes = 1024;
  Into.HeaderBytes =
      Limits.integer("header_bytes", LowestBytes, 1'048'576, Into.HeaderBytes);
  Into.BodyBytes =
      Limits.integer("body_bytes", LowestBytes, 67'108'864, Into.BodyBytes);
  Limits.refuseUnknownKeys();
}

void readDeadlines(TableReader Reader, Settings &Into) {
  auto Read = [&](std::string_view Key, Duration &Value) {
    Value = Reader.duration(Key, milliseconds(1), seconds(3600), Value);
  };
  Read("default", Into.DefaultDeadline);
  Read("header", Into.HeaderDeadline);
  Read("body", Into.BodyDeadline);
  Read("connect", Into.ConnectDeadline);
  Read("platform", Into.PlatformDeadline);
  Read("shutdown", Into.ShutdownDeadline);
  Reader.refuseUnknownKeys();
}

} // namespace

SocketAddress addressAt(TableReader &Reader, std::string_view Key) {
  std::string Text = Reader.string(
      Key,
      [](std::string_view Value) { return readAddress(Value).has_value(); },
      AllowedAddress);
  return readAddress(Text).value_or(SocketAddress{});
}

std::string SocketAddress::str() const {
  bool Bracketed = Host.find(':') != std::string::npos;
  return (Bracketed ? "[" + Host + "]" : Host) + ":" + std::to_string(Port);
}

Result<SocketAddress> parseSocketAddress(std::string_view Text) {
  std::optional<SocketAddress> Address = readAddress(Text);
  if (!Address)
    return fail(ResultCode::InvalidSettings,
                "address \"" + std::string(Text) + "\" " + AllowedAddress);
  return *Address;
}

Result<Settings> parseSettings(std::string_view Toml, std::string_view File) {
  Problems Found(File);
  Settings Value;
  if (std::optional<toml::table> Parsed = parseToml(Toml, Found)) {
    TableReader Root(*Parsed, "", Found);
    Value.Entry = EntryId(Root.name("entry"));
    Value.Zone = ZoneId(Root.name("zone"));
    readListen(Root.table("listen", true), Value);
    TableReader Platform = Root.table("platform", true);
    Value.Platform = addressAt(Platform, "address");
    Platform.refuseUnknownKeys();
    TableReader Secrets = Root.table("secrets", true);
    Value.PeerKey = secretAt(Secrets, "peer_key");
    Value.OperatorKey = secretAt(Secrets, "operator_key");
    Secrets.refuseUnknownKeys();
    readSeeds(Root, Value);
    readLimits(Root.table("limits"), Value);
    readDeadlines(Root.table("deadlines"), Value);
    Root.refuseUnknownKeys();
  }
  if (!Found.empty())
    return fail(ResultCode::InvalidSettings, Found.message());
  return Value;
}

Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Content;
  if (File)
    Content << File.rdbuf();
  if (!File || File.bad())
    return fail(ResultCode::NotFound, "file \"" + Path + "\" can't be read");
  return Content.str();
}

} // namespace samphirehill

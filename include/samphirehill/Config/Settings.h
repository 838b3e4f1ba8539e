// Settings of one daemon process: who it is, where it listens, whom it knows.
// They differ from process to process and don't change while it runs; what is
// common to all is in the operators' text.
//
//   entry = "lumen-1"
//   zone = "mu-1"
//   [listen]                    # "<IP>:<port>"
//   callers = "127.0.0.1:8080"
//   operators = "127.0.0.1:8081"
//   peers = "127.0.0.1:8082"
//   [platform]
//   address = "127.0.0.1:9000"
//   [secrets]                   # at least 16 bytes each
//   peer_key = "..."
//   operator_key = "..."
//   [[seeds]]                   # peers to learn state from at the start
//   entry = "lumen-2"
//   address = "127.0.0.1:8182"
//   [limits]
//   header_bytes = 16384
//   body_bytes = 1048576
//   [deadlines]
//   default = "30s"             # of a request that names none
//   header = "10s"              # until a caller has sent its headers
//   body = "30s"                # until a caller has sent its body
//   connect = "500ms"           # to an upstream
//   platform = "2s"             # one platform call
//   shutdown = "130s"           # work in progress at a graceful shutdown
#ifndef SAMPHIREHILL_CONFIG_SETTINGS_H
#define SAMPHIREHILL_CONFIG_SETTINGS_H

#include "samphirehill/Config/Secret.h"
#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirehill {

// An IP number and a TCP port.
struct SocketAddress {
  std::string Host; // IPv4, or IPv6 without brackets
  std::uint16_t Port = 0;

  // Returns "<IP>:<port>", an IPv6 number in brackets.
  std::string str() const;

  auto operator<=>(const SocketAddress &) const = default;
  bool operator==(const SocketAddress &) const = default;
};

// Parses "<IP>:<port>". Host names and port 0 are refused (InvalidSettings).
Result<SocketAddress> parseSocketAddress(std::string_view Text);

struct SeedPeer {
  EntryId Entry;
  SocketAddress Address;

  bool operator==(const SeedPeer &) const = default;
};

struct Settings {
  EntryId Entry;
  ZoneId Zone;
  SocketAddress Callers;
  SocketAddress Operators;
  SocketAddress Peers;
  SocketAddress Platform;
  std::vector<SeedPeer> Seeds;
  Secret PeerKey;
  Secret OperatorKey;

  std::int64_t HeaderBytes = 16'384;
  std::int64_t BodyBytes = 1'048'576;

  Duration DefaultDeadline = seconds(30);
  Duration HeaderDeadline = seconds(10);
  Duration BodyDeadline = seconds(30);
  Duration ConnectDeadline = milliseconds(500);
  Duration PlatformDeadline = seconds(2);
  Duration ShutdownDeadline = seconds(130);

  bool operator==(const Settings &) const = default;
};

// Parses settings. On failure the message of the error (InvalidSettings) has
// one line for every problem: "<file>:<line>: <key> = <value>: <what is
// allowed>". Values of secrets are never part of a message.
Result<Settings> parseSettings(std::string_view Toml, std::string_view File);

// Returns the content of the file at Path, for parse and parseSettings. Fails
// with NotFound when it can't be read.
Result<std::string> readTextFile(const std::string &Path);

} // namespace samphirehill

#endif // SAMPHIREHILL_CONFIG_SETTINGS_H

// Blocking calls of the operators' tool to the platform, the entries' operator
// interfaces and the engines. Each call runs the io_context until its answer is
// there, so everything else on that context goes on meanwhile.
#ifndef SAMPHIREHILL_CTL_VENTURECLIENT_H
#define SAMPHIREHILL_CTL_VENTURECLIENT_H

#include "samphirehill/Config/Secret.h"
#include "samphirehill/Core/Result.h"
#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/HttpClient.h"
#include "samphirehill/Net/Platform.h"
#include "samphirehill/Net/TimerService.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace samphirehill {

struct VentureOptions {
  std::string Platform;             // "ip:port"; empty: none is given
  std::vector<std::string> Entries; // "ip:port" of operator interfaces
  Secret OperatorKey;
  Duration Timeout = seconds(2); // of one call
};

// The answer of one entry or engine: the JSON body of a 200, or an error. An
// answer with another status is an error with the result code of its body.
using JsonAnswer = Outcome<nlohmann::json>;

class VentureClient {
public:
  // Context must outlive the client.
  VentureClient(asio::io_context &Context, VentureOptions Options);

  const VentureOptions &options() const { return Options; }

  // As the calls of Platform. PlatformUnavailable if no platform is given.
  Outcome<Object> read(const ObjectKey &Key);
  Outcome<std::uint64_t> remove(const ObjectKey &Key, std::uint64_t Expected);
  Outcome<ObjectList> list(const std::string &Kind);
  Outcome<InstanceList> instances();

  // Writes as Platform::writeObject does and settles a lost answer: it reads
  // the object, and writes again with the same id while the version is still
  // Expected. UnknownWriteOutcome is left only if the platform goes on failing.
  Outcome<std::uint64_t> write(const ObjectKey &Key, std::uint64_t Expected,
                               const std::string &Value,
                               const std::string &WriteId);

  // Calls the operator interface at Address.
  JsonAnswer callEntry(const std::string &Address, const std::string &Method,
                       const std::string &Path,
                       const nlohmann::json &Body = nullptr);
  // Calls the operator interfaces of all given entries at once; the answers
  // are in the order of options().Entries.
  std::vector<JsonAnswer> callEntries(const std::string &Method,
                                      const std::string &Path,
                                      const nlohmann::json &Body = nullptr);
  // Reads the status of each given entry every Period, each on its own, until
  // Take returns true for it (Take gets its index in options().Entries) or
  // Wait is over.
  void pollEntries(Duration Period, Duration Wait,
                   std::function<bool(std::size_t, const JsonAnswer &)> Take);
  // Reads /status of the engines at Addresses at once.
  std::vector<JsonAnswer>
  engineStatuses(const std::vector<std::string> &Addresses);

  // Lets Length pass.
  void pause(Duration Length);
  TimePoint now() const { return Timers.now(); }

  // Returns an id that no other run of the tool gives.
  std::string uniqueId();

private:
  template <typename T>
  Outcome<T> await(const std::function<void(Platform::Callback<T>)> &Start);
  Outcome<std::uint64_t> writeOnce(const ObjectKey &Key, std::uint64_t Expected,
                                   const std::string &Value,
                                   const std::string &WriteId);
  std::vector<JsonAnswer> sendAll(std::vector<HttpRequest> Requests);
  HttpRequest entryRequest(const std::string &Address,
                           const std::string &Method, const std::string &Path,
                           const nlohmann::json &Body) const;

  asio::io_context &Context;
  asio::executor_work_guard<asio::io_context::executor_type> Guard;
  VentureOptions Options;
  TimerService Timers;
  HttpClient Http;
  std::unique_ptr<Platform> Store;
  std::string RunId;
  std::uint64_t LastId = 0;
};

// What a read after a write with a lost answer shows.
enum class WriteFate {
  Stored,    // the object holds this write
  Open,      // still the expected version: write again with the same id
  Superseded // another write took the version
};
// Found is the object as read, or nothing if there is none.
WriteFate fateOf(const std::string &WriteId, std::uint64_t Expected,
                 const std::optional<Object> &Found);

// Tells whether Code says that the platform can't be used now, so that the
// entries have to be called directly.
bool platformDown(ResultCode Code);

// Takes a line for the operator as soon as it is known.
using Say = std::function<void(const std::string &)>;

// The end of a command: what --json prints, and why it failed if it did.
struct Report {
  nlohmann::json Fields = nlohmann::json::object();
  std::optional<Error> Failure;
};

// Exit codes of the tool.
enum ExitCode { ExitOk = 0, ExitFailure = 1, ExitUsage = 2, ExitConflict = 3 };
ExitCode exitCodeOf(const Report &Value);

// Returns "<code> <name>: <message>".
std::string describe(const Error &Value);

} // namespace samphirehill

#endif // SAMPHIREHILL_CTL_VENTURECLIENT_H

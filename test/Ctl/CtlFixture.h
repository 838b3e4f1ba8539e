// A venture for tests of the operators' tool: the stand-in platform, whose
// calls a test can intercept, and entries that answer what the test sets. All
// of it runs on one io_context, inside the tool's blocking calls.
#ifndef SAMPHIREHILL_TEST_CTL_CTLFIXTURE_H
#define SAMPHIREHILL_TEST_CTL_CTLFIXTURE_H

#include "Standins/StandinFixture.h"
#include "samphirehill/Config/OperatorsText.h"
#include "samphirehill/Ctl/VentureClient.h"
#include "standin-platform/Platform.h"

#include <map>
#include <string>
#include <vector>

namespace samphirehill {

using standin::Json;

inline const std::string OperatorKey = "operator-key-of-the-test";
inline const std::string ApiKey = "plain-api-key-of-the-test";

// A valid text; Limit makes texts differ.
inline std::string textToml(const std::string &Operator, int Limit = 16,
                            const std::string &Zones = "mu-1") {
  return "operator = \"" + Operator + "\"\n[[zones]]\nname = \"" + Zones +
         "\"\nregion = \"mauritius\"\n[[services]]\nname = \"" + Operator +
         "-desk\"\nkind = \"plain\"\nwarm_limit = " + std::to_string(Limit) +
         "\n[[organisations]]\nid = \"" + Operator + "-town\"\napi_keys = [\"" +
         ApiKey + Operator + "\"]\n";
}

inline OperatorsText makeText(const std::string &Operator, int Limit = 16,
                              const std::string &Zone = "mu-1") {
  Outcome<OperatorsText> Text = capture([&] {
    return OperatorsText::parse(textToml(Operator, Limit, Zone), "test.toml");
  });
  if (const Error *Failure = errorOf(Text))
    throw std::runtime_error(Failure->Message);
  return std::get<0>(Text);
}

// Ignores the answer.
class NoAnswer : public standin::Responder {
public:
  void send(int, std::string, HttpHeaders) override {}
  void startStream(const HttpHeaders &) override {}
  void write(std::string) override {}
  void finish() override {}
  void drop() override {}
  void onBroken(std::function<void()>) override {}
};

class CtlFixture : public standin::StandinFixture {
protected:
  CtlFixture() {
    serve([this](const auto &From, const auto &To) {
      bool Write = From.Method == "PUT" || From.Method == "DELETE";
      // A copy, so that the function may replace itself.
      auto Hook = BeforeWrite;
      if (Write && Hook)
        Hook(From);
      Served.handle(From, To);
    });
  }

  // Adds a server whose answers are those of Serve; returns its address.
  std::string addServer(standin::Handler Serve) {
    Servers.push_back(standin::listen(Io, "127.0.0.1:0", std::move(Serve)));
    return "127.0.0.1:" + std::to_string(Servers.back()->port());
  }

  // Adds an entry that answers Status() and takes zones when TakesZones.
  std::string addEntry(std::function<Json()> Status) {
    std::string Added =
        addServer([this, Status](const auto &From, const auto &To) {
          if (From.header("Authorization") != "Bearer " + OperatorKey)
            return standin::sendJson(To, 401, Json::object());
          if (From.Path == "/operator/zones") {
            ZoneCalls.push_back(Json::parse(From.Body));
            return standin::sendJson(To, ZoneAnswer, ZoneAnswerBody);
          }
          standin::sendJson(To, 200, Status());
        });
    Entries.push_back(Added);
    return Added;
  }

  VentureOptions options() const {
    return {Address, Entries, Secret(OperatorKey), seconds(2)};
  }

  // Changes the platform at once, from inside a handler too.
  void platformCall(const std::string &Method, const std::string &Path,
                    const Json &Body, HttpHeaders Headers = {}) {
    standin::Request Call;
    Call.Method = Method;
    Call.Path = Path;
    Call.Body = Body.dump();
    Call.Headers = std::move(Headers);
    Served.handle(Call, std::make_shared<NoAnswer>());
  }
  void faults(const Json &Faults) {
    platformCall("POST", "/control/faults", Faults);
  }
  void put(const std::string &Path, std::uint64_t Expected, const Json &Value) {
    platformCall("PUT", "/objects/" + Path,
                 {{"value", Value}, {"writeId", "other-write"}},
                 {{"If-Match", std::to_string(Expected)}});
  }

  // The object at Path, null if there is none.
  Json stored(const std::string &Path) {
    Outcome<HttpResponse> Answer = call("GET", "/objects/" + Path);
    return status(Answer) == 200 ? body(Answer) : Json();
  }
  std::size_t objectCount() {
    std::size_t Count = 0;
    for (const char *Kind : {"config", "zones", "placement", "records"})
      Count +=
          body(call("GET", std::string("/objects/") + Kind))["items"].size();
    return Count;
  }

  Say tell() {
    return [this](const std::string &Line) { Output += Line + "\n"; };
  }
  static ResultCode code(const Report &Value) {
    return Value.Failure ? Value.Failure->Code : ResultCode::Ok;
  }
  // Guards against secrets in what the operator's terminal or log keeps.
  void expectNoSecret(const Report &Value) {
    std::string All = Output + Value.Fields.dump() +
                      (Value.Failure ? Value.Failure->Message : "");
    EXPECT_EQ(All.find(OperatorKey), std::string::npos);
    EXPECT_EQ(All.find(ApiKey), std::string::npos);
  }

  standin::Platform Served{Io, {}};
  std::function<void(const standin::Request &)> BeforeWrite;
  std::vector<std::unique_ptr<HttpServer>> Servers;
  std::vector<std::string> Entries;
  std::vector<Json> ZoneCalls;
  int ZoneAnswer = 200;
  Json ZoneAnswerBody = Json::object();
  std::string Output;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_TEST_CTL_CTLFIXTURE_H

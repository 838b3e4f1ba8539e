#include "samphirehill/Net/Platform.h"

#include "samphirehill/Core/JsonParts.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr std::array<std::pair<std::string_view, InstanceRole>, 3> Roles = {{
    {"entry", InstanceRole::Entry},
    {"engine", InstanceRole::Engine},
    {"service", InstanceRole::Service},
}};

ObjectKey readKey(const Json &From, const Object *) {
  return {From.at("kind").get<std::string>(),
          From.at("name").get<std::string>()};
}

InstanceId readKey(const Json &From, const Instance *) {
  return InstanceId(From.at("id").get<std::string>());
}

// Parses a text within bounds.
Json readJson(std::string_view Text) {
  Json Read = parseJson(Text);
  if (Read.is_discarded())
    throw std::invalid_argument("text is no JSON within bounds");
  return Read;
}

// The value stays text as the platform wrote it.
Object readValue(const JsonPart &From, const Object *As) {
  Json Rest = Json::object();
  Object Value;
  bool Whole =
      forEachField(From, [&](std::string_view Name, const JsonPart &Field) {
        if (Name == "value")
          Value.Value = std::string(Field.Text);
        else
          Rest[std::string(Name)] = readJson(Field.Text);
      });
  if (!Whole || Value.Value.empty())
    throw std::invalid_argument("object has no value");
  Value.Key = readKey(Rest, As);
  Value.Version = Rest.at("version").get<std::uint64_t>();
  Value.WriteId = Rest.value("writeId", "");
  return Value;
}

Instance readValue(const JsonPart &Part, const Instance *As) {
  Json From = readJson(Part.Text);
  Instance Value;
  Value.Name = readKey(From, As);
  Value.Zone = ZoneId(From.at("zone").get<std::string>());
  Value.FabricDomain = DomainId(From.value("fabricDomain", ""));
  Value.Address = From.at("address").get<std::string>();
  Value.Accelerators = From.value("accelerators", 0);
  std::string State = From.at("state").get<std::string>();
  if (State != "live" && State != "leaving")
    throw std::invalid_argument("unknown instance state \"" + State + "\"");
  Value.State = State == "live" ? InstanceState::Live : InstanceState::Leaving;
  std::string Role = From.at("role").get<std::string>();
  for (const auto &[Name, Known] : Roles) {
    if (Name != Role)
      continue;
    Value.Role = Known;
    return Value;
  }
  throw std::invalid_argument("unknown instance role \"" + Role + "\"");
}

// Adds an item, or its deletion; another writer may have left one that can't be
// read, which is counted and takes no other away.
template <typename T, typename K>
void readItem(const JsonPart &Part, ItemList<T, K> &Into) {
  constexpr T *As = nullptr;
  Json Rest = Json::object();
  try {
    forEachField(Part, [&](std::string_view Name, const JsonPart &Field) {
      if (Name != "value")
        Rest[std::string(Name)] = readJson(Field.Text);
    });
    if (Rest.value("deleted", false))
      Into.Deleted.push_back(readKey(Rest, As));
    else
      Into.Items.push_back(readValue(Part, As));
  } catch (const std::exception &) {
    ++Into.Skipped;
  }
}

template <typename T, typename K>
ItemList<T, K> readValue(const JsonPart &From, const ItemList<T, K> *) {
  ItemList<T, K> List;
  Json Rest = Json::object();
  bool Listed = false;
  bool Whole =
      forEachField(From, [&](std::string_view Name, const JsonPart &Field) {
        if (Name != "items")
          Rest[std::string(Name)] = readJson(Field.Text);
        else
          Listed = forEachElement(
              Field, [&List](const JsonPart &Item) { readItem(Item, List); });
      });
  if (!Whole || !Listed)
    throw std::invalid_argument("answer holds no list of items");
  List.Revision = Rest.at("revision").get<std::uint64_t>();
  List.Complete = Rest.at("complete").get<bool>();
  return List;
}

// The answer to a write: the version written or deleted.
std::uint64_t readValue(const JsonPart &From, const std::uint64_t *) {
  return readJson(From.Text).at("version").get<std::uint64_t>();
}

template <typename T> Outcome<T> readBody(const HttpResponse &From) {
  try {
    JsonText Body(From.Body);
    return readValue(Body.whole(), static_cast<T *>(nullptr));
  } catch (const std::exception &Failure) {
    return Error{ResultCode::BadAnswer,
                 "the platform's answer breaks the interface: " +
                     std::string(Failure.what())};
  }
}

Error statusError(const std::string &Call, const HttpResponse &From,
                  ResultCode Unexpected) {
  std::string Message = Call + " was answered " + std::to_string(From.Status) +
                        ": " + From.Body.substr(0, 200);
  switch (From.Status) {
  case 404:
    return {ResultCode::NotFound, Message};
  case 409:
    return {ResultCode::Conflict, Message};
  case 429:
    return {ResultCode::PlatformRateLimited, Message};
  case 503:
    return {ResultCode::PlatformUnavailable, Message};
  default:
    return {Unexpected, Message};
  }
}

template <typename T>
Outcome<T> readOutcome(const std::string &Call,
                       const Outcome<HttpResponse> &From) {
  if (const Error *Failure = errorOf(From))
    return Error{ResultCode::PlatformUnavailable,
                 Call + " got no answer: " + Failure->Message};
  const HttpResponse &Answer = std::get<HttpResponse>(From);
  if (Answer.Status == 200)
    return readBody<T>(Answer);
  return statusError(Call, Answer, ResultCode::BadAnswer);
}

// Only an answer that the interface defines tells whether the write took
// effect; a connection that was never made tells that it did not.
Outcome<std::uint64_t> writeOutcome(const std::string &Call,
                                    const Outcome<HttpResponse> &From) {
  if (const Error *Failure = errorOf(From)) {
    bool Sent = Failure->Code != ResultCode::ConnectFailed;
    return Error{Sent ? ResultCode::UnknownWriteOutcome
                      : ResultCode::PlatformUnavailable,
                 Call + " got no answer: " + Failure->Message};
  }
  const HttpResponse &Answer = std::get<HttpResponse>(From);
  if (Answer.Status != 200)
    return statusError(Call, Answer, ResultCode::UnknownWriteOutcome);
  Outcome<std::uint64_t> Version = readBody<std::uint64_t>(Answer);
  if (const Error *Failure = errorOf(Version))
    return Error{ResultCode::UnknownWriteOutcome, Failure->Message};
  return Version;
}

class HttpPlatform final : public Platform {
public:
  HttpPlatform(HttpClient &Client, PlatformOptions Options)
      : Client(Client), Options(std::move(Options)) {}

  CallId readObject(const ObjectKey &Key, Callback<Object> OnDone) override {
    return read<Object>(pathOf(Key), Duration(0), std::move(OnDone));
  }

  CallId writeObject(const ObjectKey &Key, std::uint64_t Expected,
                     const std::string &Value, const std::string &WriteId,
                     Callback<std::uint64_t> OnDone) override {
    // Value is JSON text already; parsing it again would cost a copy.
    std::string Body =
        R"({"writeId":)" + Json(WriteId).dump() + R"(,"value":)" + Value + "}";
    return write("PUT", Key, Expected, std::move(Body), std::move(OnDone));
  }

  CallId deleteObject(const ObjectKey &Key, std::uint64_t Expected,
                      Callback<std::uint64_t> OnDone) override {
    return write("DELETE", Key, Expected, "", std::move(OnDone));
  }

  CallId listObjects(const std::string &Kind,
                     Callback<ObjectList> OnDone) override {
    return read<ObjectList>("/objects/" + Kind, Duration(0), std::move(OnDone));
  }

  CallId watchObjects(const std::string &Kind, std::uint64_t After,
                      Duration Wait, Callback<ObjectList> OnDone) override {
    return read<ObjectList>("/objects/" + Kind + watchQuery(After, Wait), Wait,
                            std::move(OnDone));
  }

  CallId listInstances(Callback<InstanceList> OnDone) override {
    return read<InstanceList>("/instances", Duration(0), std::move(OnDone));
  }

  CallId watchInstances(std::uint64_t After, Duration Wait,
                        Callback<InstanceList> OnDone) override {
    return read<InstanceList>("/instances" + watchQuery(After, Wait), Wait,
                              std::move(OnDone));
  }

  void cancel(CallId Call) override { Client.cancel(Call); }

private:
  static std::string pathOf(const ObjectKey &Key) {
    return "/objects/" + Key.Kind + "/" + Key.Name;
  }

  static std::string watchQuery(std::uint64_t After, Duration Wait) {
    return "?after=" + std::to_string(After) +
           "&timeoutMs=" + std::to_string(toMilliseconds(Wait));
  }

  HttpRequest request(const std::string &Method, const std::string &Path) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Url = "http://" + Options.Address + Path;
    Request.Timeout = Options.Timeout;
    // An answer names no call, so that a late copy of an earlier one would be
    // taken for it. Moreover, libcurl repeats requests on a reused connection:
    // a repeat of a write that took effect would be answered with a conflict,
    // which would be taken for another writer's success.
    Request.FreshConnection = true;
    return Request;
  }

  template <typename T>
  CallId read(const std::string &Path, Duration Wait, Callback<T> OnDone) {
    HttpRequest Request = request("GET", Path);
    Request.Timeout += Wait;
    return Client.send(std::move(Request),
                       [Call = "GET " + Path, OnDone = std::move(OnDone)](
                           const Outcome<HttpResponse> &Answer) {
                         OnDone(readOutcome<T>(Call, Answer));
                       });
  }

  CallId write(const std::string &Method, const ObjectKey &Key,
               std::uint64_t Expected, std::string Body,
               Callback<std::uint64_t> OnDone) {
    std::string Path = pathOf(Key);
    HttpRequest Request = request(Method, Path);
    Request.Headers = {{"If-Match", std::to_string(Expected)},
                       {"Content-Type", "application/json"}};
    Request.Body = std::move(Body);
    return Client.send(std::move(Request),
                       [Call = Method + " " + Path, OnDone = std::move(OnDone)](
                           const Outcome<HttpResponse> &Answer) {
                         OnDone(writeOutcome(Call, Answer));
                       });
  }

  HttpClient &Client;
  PlatformOptions Options;
};

} // namespace

std::unique_ptr<Platform> makeHttpPlatform(HttpClient &Client,
                                           PlatformOptions Options) {
  return std::make_unique<HttpPlatform>(Client, std::move(Options));
}

} // namespace samphirehill

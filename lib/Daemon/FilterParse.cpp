#include "samphirehill/Daemon/Filters.h"

#include <charconv>

namespace samphirehill {
namespace {

constexpr std::string_view ServicePrefix = "/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::size_t MaxKeyBytes = 256;

std::optional<Refusal> bad(std::string Message) {
  return Refusal{Error{ResultCode::BadRequest, std::move(Message)}};
}

std::size_t headerBytes(const HttpExchange &Exchange) {
  std::size_t Bytes = Exchange.path().size() + Exchange.query().size();
  for (const auto &[Name, Value] : Exchange.headers())
    Bytes += Name.size() + Value.size() + 4; // ": " and the line end
  return Bytes;
}

std::optional<Refusal> checkSizes(const HttpExchange &Exchange,
                                  const Settings &Config) {
  std::size_t Headers = headerBytes(Exchange);
  if (Headers > static_cast<std::size_t>(Config.HeaderBytes))
    return Refusal{Error{ResultCode::HeaderTooLarge,
                         "headers have " + std::to_string(Headers) +
                             " bytes, allowed are " +
                             std::to_string(Config.HeaderBytes)}};
  if (Exchange.body().size() > static_cast<std::size_t>(Config.BodyBytes))
    return Refusal{Error{ResultCode::BodyTooLarge,
                         "body has " + std::to_string(Exchange.body().size()) +
                             " bytes, allowed are " +
                             std::to_string(Config.BodyBytes)}};
  return std::nullopt;
}

std::optional<Refusal> parsePriority(RequestContext &Request) {
  std::string Value = findHeader(Request.Exchange->headers(), "X-Priority");
  if (Value.empty() || Value == "normal")
    return std::nullopt;
  if (Value != "high" && Value != "low")
    return bad("header X-Priority is \"" + Value +
               "\", allowed are high, normal and low");
  Request.Class = Value == "high" ? Priority::High : Priority::Low;
  return std::nullopt;
}

std::optional<Refusal> parseDeadline(RequestContext &Request) {
  std::string Value = findHeader(Request.Exchange->headers(), "X-Deadline-Ms");
  if (Value.empty())
    return std::nullopt;
  std::int64_t Milliseconds = 0;
  const char *End = Value.data() + Value.size();
  auto [Stop, Failed] = std::from_chars(Value.data(), End, Milliseconds);
  constexpr std::int64_t Day = 24 * 3600 * 1000;
  if (Failed != std::errc() || Stop != End || Milliseconds < 1 ||
      Milliseconds > Day)
    return bad("header X-Deadline-Ms is \"" + Value +
               "\", allowed are 1 to 86400000");
  Request.AskedDeadline = milliseconds(Milliseconds);
  return std::nullopt;
}

std::optional<Refusal> parseHeaders(RequestContext &Request) {
  const HttpHeaders &Headers = Request.Exchange->headers();
  std::string Authorization = findHeader(Headers, "Authorization");
  if (Authorization.starts_with(BearerPrefix))
    Request.ApiKey = Authorization.substr(BearerPrefix.size());
  Request.IdempotencyKey = findHeader(Headers, "Idempotency-Key");
  if (Request.IdempotencyKey.size() > MaxKeyBytes)
    return bad("header Idempotency-Key has " +
               std::to_string(Request.IdempotencyKey.size()) +
               " bytes, allowed are " + std::to_string(MaxKeyBytes));
  if (auto Refused = parsePriority(Request))
    return Refused;
  return parseDeadline(Request);
}

std::optional<Refusal> parseCompletionBody(RequestContext &Request,
                                           CompletionKind Kind) {
  Request.Kind = RequestKind::Completion;
  Outcome<CompletionRequest> Parsed =
      capture([&] { return parseCompletion(Kind, Request.Exchange->body()); });
  if (const Error *Failure = errorOf(Parsed))
    return Refusal{*Failure};
  Request.Completion = std::move(std::get<0>(Parsed));
  return std::nullopt;
}

std::optional<Refusal> parseService(RequestContext &Request) {
  Request.Kind = RequestKind::Plain;
  std::string Rest = Request.Exchange->path().substr(ServicePrefix.size());
  std::size_t Slash = Rest.find('/');
  Request.ServiceName = Rest.substr(0, Slash);
  Request.ServicePath = Slash == std::string::npos ? "/" : Rest.substr(Slash);
  if (!Request.Exchange->query().empty())
    Request.ServicePath += "?" + Request.Exchange->query();
  return std::nullopt;
}

std::optional<Refusal> parsePath(RequestContext &Request) {
  const std::string &Path = Request.Exchange->path();
  const std::string &Method = Request.Exchange->method();
  if (Path.starts_with(ServicePrefix))
    return parseService(Request);
  if (Path == "/v1/models" && Method == "GET") {
    Request.Kind = RequestKind::Models;
    return std::nullopt;
  }
  if (Method == "POST" && Path == "/v1/chat/completions")
    return parseCompletionBody(Request, CompletionKind::Chat);
  if (Method == "POST" && Path == "/v1/completions")
    return parseCompletionBody(Request, CompletionKind::Text);
  if (Method == "POST" && Path == "/v1/idempotency-keys") {
    Request.Kind = RequestKind::IssueKey;
    return std::nullopt;
  }
  return Refusal{Error{ResultCode::UnknownService,
                       "nothing is served at " + Method + " " + Path}};
}

} // namespace

std::optional<Refusal> parseRequest(RequestContext &Request,
                                    const Settings &Config) {
  if (auto Refused = checkSizes(*Request.Exchange, Config))
    return Refused;
  if (auto Refused = parseHeaders(Request))
    return Refused;
  return parsePath(Request);
}

} // namespace samphirehill

#include "standin-common/HttpServer.h"

#include <restinio/uri_helpers.hpp>
#include <restinio/utils/percent_encoding.hpp>

#include <stdexcept>

namespace samphirehill::standin {
namespace {

class ResponderImpl final : public Responder {
public:
  explicit ResponderImpl(std::shared_ptr<HttpExchange> Exchange)
      : Exchange(std::move(Exchange)) {}

  void send(int Status, std::string Body, HttpHeaders Headers) override {
    if (!Exchange || Streaming)
      return;
    Headers.emplace_back("Content-Type", "application/json");
    std::exchange(Exchange, nullptr)->respond(Status, Headers, std::move(Body));
  }

  void startStream(const HttpHeaders &Headers) override {
    if (!Exchange || Streaming)
      return;
    Streaming = true;
    Exchange->start(200, Headers);
  }

  void write(std::string Chunk) override {
    if (Exchange && Streaming)
      Exchange->write(std::move(Chunk));
  }

  void finish() override {
    if (Exchange && Streaming)
      std::exchange(Exchange, nullptr)->finish();
  }

  void drop() override {
    if (!Exchange)
      return;
    // An exchange that is released unanswered closes its connection.
    if (Streaming)
      Exchange->abort();
    Exchange.reset();
  }

  void onBroken(std::function<void()> Callback) override {
    if (Exchange)
      Exchange->onClosed(std::move(Callback));
  }

private:
  std::shared_ptr<HttpExchange> Exchange;
  bool Streaming = false;
};

Request toRequest(const HttpExchange &From) {
  Request Value;
  Value.Method = From.method();
  Value.Path = restinio::utils::unescape_percent_encoding<
      restinio::utils::relaxed_unescape_traits>(From.path());
  auto Query = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(
      From.query());
  if (Query)
    for (const auto &[Name, Text] : *Query)
      Value.Query.emplace(std::string(Name), std::string(Text));
  Value.Headers = From.headers();
  Value.Body = From.body();
  return Value;
}

} // namespace

std::string Request::header(const std::string &Name) const {
  return findHeader(Headers, Name);
}

std::int64_t Request::number(const std::string &Name,
                             std::int64_t Default) const {
  auto Found = Query.find(Name);
  if (Found == Query.end())
    return Default;
  try {
    return std::stoll(Found->second);
  } catch (const std::exception &) {
    return Default;
  }
}

std::vector<std::string> Request::parts() const {
  std::vector<std::string> Parts;
  std::string Part;
  for (char Character : Path + "/") {
    if (Character != '/') {
      Part += Character;
      continue;
    }
    if (!Part.empty())
      Parts.push_back(std::exchange(Part, ""));
  }
  return Parts;
}

std::unique_ptr<HttpServer> listen(asio::io_context &Io,
                                   const std::string &Address, Handler Serve) {
  auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    throw std::runtime_error("address \"" + Address + "\" is not ip:port");
  HttpServerOptions Options;
  Options.Address = Address.substr(0, Colon);
  Options.Port =
      static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)));
  Options.ReadTimeout = seconds(600); // idle connections stay open
  auto Opened = capture([&] {
    return HttpServer::create(
        Io, Options,
        [Serve = std::move(Serve)](std::shared_ptr<HttpExchange> Exchange) {
          Request From = toRequest(*Exchange);
          Serve(From, std::make_shared<ResponderImpl>(std::move(Exchange)));
        });
  });
  if (const Error *Failure = errorOf(Opened))
    throw std::runtime_error(Failure->Message);
  return std::move(std::get<0>(Opened));
}

} // namespace samphirehill::standin

#include "samphirehill/Net/HttpServer.h"

#include <exception>
#include <http_parser.h>
#include <memory>
#include <optional>
#include <restinio/all.hpp>
#include <utility>
#include <vector>

namespace samphirehill {
namespace {

struct ServerTraits : restinio::default_single_thread_traits_t {
  // RESTinio reads this name. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool use_connection_count_limiter = true;
};

using RestinioServer = restinio::http_server_t<ServerTraits>;
using StreamBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t statusLine(int Status) {
  auto Code = restinio::http_status_code_t(static_cast<std::uint16_t>(Status));
  std::string Phrase = Status < 400 ? "OK" : "Error";
  return restinio::http_status_line_t(Code, Phrase);
}

class Exchange final : public HttpExchange,
                       public std::enable_shared_from_this<Exchange> {
public:
  explicit Exchange(restinio::request_handle_t Request)
      : Request(std::move(Request)) {
    const restinio::http_request_header_t &Header = this->Request->header();
    Method = Header.method().c_str();
    Path = std::string(Header.path());
    Query = std::string(Header.query());
    Header.for_each_field([this](const restinio::http_header_field_t &Field) {
      Headers.emplace_back(Field.name(), Field.value());
    });
  }

  const std::string &method() const override { return Method; }
  const std::string &path() const override { return Path; }
  const std::string &query() const override { return Query; }
  const HttpHeaders &headers() const override { return Headers; }
  const std::string &body() const override { return Request->body(); }

  void respond(int Status, const HttpHeaders &ResponseHeaders,
               std::string Body) override {
    auto Response = Request->create_response(statusLine(Status));
    for (const auto &[Name, Value] : ResponseHeaders)
      Response.append_header(Name, Value);
    Response.set_body(std::move(Body));
    Response.done();
  }

  void start(int Status, const HttpHeaders &ResponseHeaders) override {
    Stream.emplace(Request->create_response<restinio::chunked_output_t>(
        statusLine(Status)));
    for (const auto &[Name, Value] : ResponseHeaders)
      Stream->append_header(Name, Value);
    Stream->flush();
  }

  void write(std::string Chunk) override {
    if (!Stream || Chunk.empty())
      return;
    Stream->append_chunk(std::move(Chunk));
    Stream->flush([Self = weak_from_this()](const auto &Status) {
      if (auto Alive = Self.lock(); Alive && Status)
        Alive->notifyClosed();
    });
  }

  void finish() override {
    if (!Stream)
      return;
    Stream->done();
    Stream.reset();
  }

  void abort() override {
    if (!Stream)
      return;
    // A response that is closed without its last chunk is incomplete to every
    // HTTP/1.1 client.
    Stream->connection_close();
    Stream.reset();
    Request.reset();
  }

  void onClosed(std::function<void()> Function) override {
    Closed = std::move(Function);
  }

private:
  void notifyClosed() {
    if (!Closed)
      return;
    auto Function = std::exchange(Closed, nullptr);
    Function();
  }

  restinio::request_handle_t Request;
  std::optional<StreamBuilder> Stream;
  std::string Method;
  std::string Path;
  std::string Query;
  HttpHeaders Headers;
  std::function<void()> Closed;
};

// Keeps servers until their io_context ends. RESTinio's connections refer to
// their server's acceptor, and the io_context still holds connections when a
// server is closed.
class ServerKeeper : public asio::execution_context::service {
public:
  using key_type = ServerKeeper; // NOLINT(readability-identifier-naming)
  // Asio looks the service up by this. NOLINTNEXTLINE(readability-*)
  inline static asio::execution_context::id id;

  explicit ServerKeeper(asio::execution_context &Context)
      : asio::execution_context::service(Context) {}

  void keep(std::shared_ptr<RestinioServer> Added) {
    Kept.push_back(std::move(Added));
  }

private:
  void shutdown() override {}

  std::vector<std::shared_ptr<RestinioServer>> Kept;
};

class Server final : public HttpServer {
public:
  Server(asio::io_context &Context, const HttpServerOptions &Options,
         HttpHandler Handler)
      : Impl(std::make_shared<RestinioServer>(
            restinio::external_io_context(Context),
            settings(Options, std::move(Handler)))) {
    // Added after the server has set up Asio's own services, and so destroyed
    // before them.
    asio::use_service<ServerKeeper>(Context).keep(Impl);
    Impl->open_sync();
  }

  ~Server() override { close(); }

  std::uint16_t port() const override { return Port; }

  void close() override {
    if (std::exchange(Open, false))
      Impl->close_sync();
  }

private:
  restinio::server_settings_t<ServerTraits>
  settings(const HttpServerOptions &Options, HttpHandler Handler) {
    // The parser's own limit of 80 KiB would close the connection of a request
    // that is to get a proper answer. It is one value for the whole process.
    http_parser_set_max_header_size(
        static_cast<std::uint32_t>(Options.MaxHeaderBytes));
    auto Limits = restinio::incoming_http_msg_limits_t{}
                      .max_url_size(Options.MaxHeaderBytes)
                      .max_field_name_size(Options.MaxHeaderBytes)
                      .max_field_value_size(Options.MaxHeaderBytes)
                      .max_field_count(256)
                      .max_body_size(Options.MaxBodyBytes);
    restinio::server_settings_t<ServerTraits> Settings;
    Settings.address(Options.Address)
        .port(Options.Port)
        .read_next_http_message_timelimit(Options.ReadTimeout)
        .write_http_response_timelimit(seconds(30))
        .handle_request_timeout(std::chrono::minutes(10))
        .incoming_http_msg_limits(Limits)
        .max_parallel_connections(Options.MaxConnections)
        .concurrent_accepts_count(4)
        .max_pipelined_requests(1)
        .socket_options_setter([](auto &SocketOptions) {
          SocketOptions.set_option(asio::ip::tcp::no_delay(true));
        })
        .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &Acceptor) {
          Port = Acceptor.local_endpoint().port();
        })
        .request_handler(
            [Handler = std::move(Handler)](restinio::request_handle_t Request) {
              Handler(std::make_shared<Exchange>(std::move(Request)));
              return restinio::request_accepted();
            });
    return Settings;
  }

  std::uint16_t Port = 0;
  bool Open = true;
  std::shared_ptr<RestinioServer> Impl;
};

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::create(asio::io_context &Context, HttpServerOptions Options,
                   HttpHandler Handler) {
  try {
    return std::unique_ptr<HttpServer>(
        std::make_unique<Server>(Context, Options, std::move(Handler)));
  } catch (const std::exception &Caught) {
    return fail(ResultCode::InvalidSettings,
                "can't listen on " + Options.Address + ":" +
                    std::to_string(Options.Port) + ": " + Caught.what());
  }
}

} // namespace samphirehill

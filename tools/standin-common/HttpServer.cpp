#include "standin-common/HttpServer.h"

#include <restinio/all.hpp>

#include <stdexcept>
#include <strings.h>

namespace samphirehill::standin {
namespace {

using Output = restinio::chunked_output_t;
using RequestHandle = restinio::request_handle_t;

class ResponderImpl final : public Responder,
                            public std::enable_shared_from_this<ResponderImpl> {
public:
  explicit ResponderImpl(RequestHandle Handle) : Handle(std::move(Handle)) {}

  void send(int Status, std::string Body, HeaderList Headers) override {
    if (Ended || Stream)
      return;
    Ended = true;
    auto Response = Handle->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{static_cast<std::uint16_t>(Status)},
        "Status"});
    Response.append_header("Content-Type", "application/json");
    for (auto &[Name, Value] : Headers)
      Response.append_header(Name, Value);
    Response.set_body(std::move(Body));
    Response.done();
  }

  void startStream(const std::string &ContentType) override {
    if (Ended || Stream)
      return;
    Stream = std::make_unique<restinio::response_builder_t<Output>>(
        Handle->create_response<Output>());
    Stream->append_header("Content-Type", ContentType);
    Stream->flush();
  }

  void write(std::string Chunk) override {
    if (Ended || !Stream)
      return;
    Stream->append_chunk(std::move(Chunk));
    Stream->flush([Self = shared_from_this()](const auto &Failure) {
      if (Failure)
        Self->reportBroken();
    });
  }

  void finish() override {
    if (Ended || !Stream)
      return;
    Ended = true;
    Stream->done();
  }

  void drop() override {
    if (Ended)
      return;
    Ended = true;
    if (Stream) {
      // RESTinio closes a connection whose write notificator throws. It offers
      // no other way to end a chunked answer without the end mark.
      Stream->flush([](const auto &) {
        throw std::runtime_error("connection dropped on purpose");
      });
      return;
    }
    // An empty write group marked as final and closing sends nothing.
    restinio::impl::connection_handle_t Connection =
        restinio::impl::access_req_connection(*Handle);
    Connection->write_response_parts(
        Handle->request_id(),
        restinio::response_output_flags_t{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t{restinio::writable_items_container_t{}});
  }

  void onBroken(std::function<void()> Callback) override {
    Broken = std::move(Callback);
  }

private:
  void reportBroken() {
    Ended = true;
    if (auto Callback = std::exchange(Broken, nullptr))
      Callback();
  }

  RequestHandle Handle;
  std::unique_ptr<restinio::response_builder_t<Output>> Stream;
  std::function<void()> Broken;
  bool Ended = false;
};

Request toRequest(const RequestHandle &Handle) {
  Request Value;
  const auto &Header = Handle->header();
  Value.Method = Header.method().c_str();
  Value.Path = restinio::utils::unescape_percent_encoding<
      restinio::utils::relaxed_unescape_traits>(Header.path());
  auto Query = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(
      Header.query());
  if (Query)
    for (const auto &[Name, Text] : *Query)
      Value.Query.emplace(std::string(Name), std::string(Text));
  Header.for_each_field([&Value](const auto &Field) {
    Value.Headers.emplace_back(Field.name(), Field.value());
  });
  Value.Body = Handle->body();
  return Value;
}

} // namespace

std::string Request::header(const std::string &Name) const {
  for (const auto &[Key, Value] : Headers)
    if (strcasecmp(Key.c_str(), Name.c_str()) == 0)
      return Value;
  return "";
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

using Traits = restinio::traits_t<
    restinio::asio_timer_manager_t, restinio::null_logger_t,
    std::function<restinio::request_handling_status_t(RequestHandle)>,
    restinio::noop_strand_t>;

struct HttpServer::Impl {
  using Server = restinio::http_server_t<Traits>;
  Impl(asio::io_context &Io, restinio::server_settings_t<Traits> Settings)
      : Http(restinio::external_io_context(Io), std::move(Settings)) {}
  Server Http;
};

HttpServer::HttpServer(asio::io_context &Io, const std::string &Address,
                       Handler Serve) {
  auto Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    throw std::runtime_error("address \"" + Address + "\" is not ip:port");
  std::string Ip = Address.substr(0, Colon);
  auto Port = static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1)));
  restinio::server_settings_t<Traits> Settings;
  // Long polls and token streams outlast RESTinio's default limits of 10 s for
  // handling and 5 s for writing.
  Settings.address(Ip)
      .port(Port)
      .read_next_http_message_timelimit(std::chrono::minutes(10))
      .handle_request_timeout(std::chrono::minutes(10))
      .write_http_response_timelimit(std::chrono::minutes(10))
      .acceptor_post_bind_hook([this, Ip](asio::ip::tcp::acceptor &Acceptor) {
        Bound = Ip + ":" + std::to_string(Acceptor.local_endpoint().port());
      })
      .request_handler([Serve = std::move(Serve)](const RequestHandle &Handle) {
        Serve(toRequest(Handle), std::make_shared<ResponderImpl>(Handle));
        return restinio::request_accepted();
      });
  Body = std::make_unique<Impl>(Io, std::move(Settings));
  std::string Failure;
  Body->Http.open_async([] {},
                        [&Failure](const std::exception_ptr &Caught) {
                          try {
                            std::rethrow_exception(Caught);
                          } catch (const std::exception &Reason) {
                            Failure = Reason.what();
                          }
                        });
  while (Bound.empty() && Failure.empty()) {
    if (Io.stopped())
      Io.restart();
    Io.run_one();
  }
  if (!Failure.empty())
    throw std::runtime_error("cannot listen on " + Address + ": " + Failure);
}

HttpServer::~HttpServer() = default;

void HttpServer::stop() {
  Body->Http.close_async([] {}, [](const std::exception_ptr &) {});
}

} // namespace samphirehill::standin

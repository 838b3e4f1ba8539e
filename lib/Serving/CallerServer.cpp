#include "samphirehill/Serving/CallerServer.h"
#include "Sockets.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <spdlog/spdlog.h>
#include <utility>
#include <vector>

namespace samphirehill::serving {
namespace {

constexpr std::size_t ReadBytes = 8'192;
// Pipelined bytes that a connection keeps while a request is in progress.
constexpr std::size_t MaxPipelinedBytes = 65'536;
// Output that a caller may leave unread before its connection is closed.
constexpr std::size_t MaxPendingOutputBytes = 4'194'304;
// Granularity of the head and idle timeouts.
constexpr Duration SweepPeriod = milliseconds(250);

} // namespace

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(CallerServer &Server, asio::ip::tcp::socket Socket)
      : Server(&Server), Socket(std::move(Socket)),
        Reader(MessageKind::Request, Server.Limits.HeadBytes,
               MessageHandlers{[this](bool Keep) {
                                 KeepAlive = Keep;
                                 return true;
                               },
                               [this](std::string_view Part) { addBody(Part); },
                               [this] { requestComplete(); }}),
        LastActive(Server.Timers.now()) {}

  void start() {
    prepareSocket(Socket);
    read();
  }

  void send(std::string Bytes, bool EndsResponse) {
    if (!Socket.is_open())
      return;
    if (Output.size() + Writing.size() > MaxPendingOutputBytes) {
      close("caller does not read");
      return;
    }
    Output += Bytes;
    if (EndsResponse)
      responseComplete();
    write();
  }

  // Ends the connection; its request, if any, is told.
  void close(std::string_view Reason) {
    if (!Socket.is_open())
      return;
    spdlog::debug("event=caller_closed reason=\"{}\"", Reason);
    std::error_code Ignored; // the connection ends either way
    Socket.close(Ignored);
    std::shared_ptr<CallerRequest> Left = std::move(Active);
    std::shared_ptr<CallerConnection> Self = shared_from_this();
    if (Server)
      Server->Connections.erase(Self);
    if (!Left)
      return;
    if (Server)
      ++Server->Counters.Disconnects;
    if (Left->OnDisconnect)
      std::exchange(Left->OnDisconnect, nullptr)();
  }

  bool closesAfterAnswer() const {
    return !KeepAlive || !Server || Server->Closing;
  }

  // The server is ending: no more calls to it.
  void detach() { Server = nullptr; }
  bool idle() const { return !Active && !Reader.inMessage() && Input.empty(); }

  void checkTimeouts(TimePoint Now) {
    if (Active)
      return;
    if (Reader.inMessage() && Now - StartedAt > Server->Limits.HeadTimeout)
      refuse(408);
    else if (idle() && Now - LastActive > Server->LongestIdle)
      close("idle");
  }

private:
  void read() {
    if (Reading || !Socket.is_open())
      return;
    Reading = true;
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](std::error_code Failed, std::size_t Size) {
          Self->Reading = false;
          if (Failed)
            return Self->close(Failed.message());
          Self->received(std::string_view(Self->Buffer.data(), Size));
        });
  }

  void received(std::string_view Bytes) {
    if (Closed)
      return read(); // drains what crosses the close
    Input += Bytes;
    process();
    if (Input.size() < MaxPipelinedBytes)
      read();
  }

  void process() {
    std::shared_ptr<CallerConnection> Self = shared_from_this();
    while (!Active && !Closed && !Input.empty() && Socket.is_open()) {
      if (!Reader.inMessage())
        StartedAt = Server->Timers.now();
      std::string Bytes = std::move(Input);
      Input.clear();
      std::size_t Taken = Reader.read(Bytes);
      if (Reader.error() != ReadError::None) {
        ++Server->Counters.Malformed;
        return refuse(Reader.error() == ReadError::HeadTooLarge ? 431 : 400);
      }
      if (TooLarge)
        return refuse(413);
      Input = Bytes.substr(Taken);
    }
  }

  void addBody(std::string_view Part) {
    if (Body.size() + Part.size() > Server->Limits.BodyBytes)
      TooLarge = true;
    if (!TooLarge)
      Body += Part;
  }

  void requestComplete() {
    if (TooLarge)
      return;
    ++Server->Counters.Requests;
    HttpRequest Request{Reader.method(), Reader.target(),
                        std::move(Reader.headers()), std::move(Body)};
    Body.clear();
    Active = std::make_shared<CallerRequest>(weak_from_this(),
                                             std::move(Request), StartedAt);
    Server->OnRequest(Active);
  }

  void refuse(int Status) {
    KeepAlive = false;
    send(serialize(HttpResponse{Status, {}, {}}, true), true);
  }

  void responseComplete() {
    Active.reset();
    LastActive = Server ? Server->Timers.now() : LastActive;
    if (closesAfterAnswer())
      Closed = true;
  }

  void write() {
    if (!Writing.empty() || !Socket.is_open())
      return;
    if (Output.empty()) {
      afterWrite();
      return;
    }
    Writing = std::exchange(Output, {});
    asio::async_write(
        Socket, asio::buffer(Writing),
        [Self = shared_from_this()](std::error_code Failed, std::size_t) {
          Self->Writing.clear();
          if (Failed)
            return Self->close(Failed.message());
          Self->write();
        });
  }

  void afterWrite() {
    if (Closed) {
      std::error_code Ignored; // the caller may have closed first
      Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
      return;
    }
    if (Active || Input.empty())
      return;
    process();
    read();
  }

  CallerServer *Server;
  asio::ip::tcp::socket Socket;
  std::array<char, ReadBytes> Buffer;
  std::string Input;
  std::string Body;
  std::string Output;
  std::string Writing;
  MessageReader Reader;
  std::shared_ptr<CallerRequest> Active;
  TimePoint StartedAt{};
  TimePoint LastActive;
  bool KeepAlive = true;
  bool Reading = false;
  bool TooLarge = false;
  bool Closed = false; // the last answer is on its way
};

void CallerRequest::reply(const HttpResponse &Response) {
  OnDisconnect = nullptr;
  if (std::shared_ptr<CallerConnection> Held = Connection.lock())
    Held->send(serialize(Response, Held->closesAfterAnswer()), true);
}

void CallerRequest::beginStream(const HttpResponse &Head) {
  if (std::shared_ptr<CallerConnection> Held = Connection.lock())
    Held->send(serializeChunkedHead(Head, Held->closesAfterAnswer()), false);
}

void CallerRequest::streamPart(std::string_view Data) {
  std::shared_ptr<CallerConnection> Held = Connection.lock();
  if (Held && !Data.empty())
    Held->send(serializeChunk(Data), false);
}

void CallerRequest::endStream() {
  OnDisconnect = nullptr;
  if (std::shared_ptr<CallerConnection> Held = Connection.lock())
    Held->send(std::string(LastChunk), true);
}

void CallerRequest::abort() {
  OnDisconnect = nullptr;
  if (std::shared_ptr<CallerConnection> Held = Connection.lock())
    Held->close("answer broken off");
}

CallerServer::CallerServer(asio::io_context &Context, TimerService &Timers,
                           Handler OnRequest)
    : Context(Context), Timers(Timers), OnRequest(std::move(OnRequest)),
      Acceptor(Context), LongestIdle(Limits.IdleTimeout) {}

CallerServer::~CallerServer() {
  for (const std::shared_ptr<CallerConnection> &Each : Connections)
    Each->detach();
}

Result<void> CallerServer::listen(const SocketAddress &Address) {
  BOOST_LEAF_CHECK(openAcceptor(Acceptor, Address));
  Sweep = Timers.every(SweepPeriod, [this] { sweep(); });
  accept();
  return {};
}

void CallerServer::accept() {
  Acceptor.async_accept([this](std::error_code Failed,
                               asio::ip::tcp::socket Socket) {
    if (Failed == asio::error::operation_aborted)
      return;
    if (Failed) {
      spdlog::warn("event=accept_failed error=\"{}\"", Failed.message());
    } else {
      ++Counters.Connections;
      auto Added = std::make_shared<CallerConnection>(*this, std::move(Socket));
      Connections.insert(Added);
      Added->start();
    }
    accept();
  });
}

void CallerServer::setLimits(const CallerLimits &Changed) {
  LongestIdle = std::max(LongestIdle, Changed.IdleTimeout);
  Limits = Changed;
}

void CallerServer::closeIdle() {
  std::error_code Ignored; // nothing is accepted either way
  Acceptor.close(Ignored);
  std::vector<std::shared_ptr<CallerConnection>> Open(Connections.begin(),
                                                      Connections.end());
  for (const std::shared_ptr<CallerConnection> &Each : Open) {
    if (Each->idle())
      Each->close("shutdown");
  }
}

void CallerServer::sweep() {
  TimePoint Now = Timers.now();
  std::vector<std::shared_ptr<CallerConnection>> Open(Connections.begin(),
                                                      Connections.end());
  for (const std::shared_ptr<CallerConnection> &Each : Open)
    Each->checkTimeouts(Now);
}

} // namespace samphirehill::serving

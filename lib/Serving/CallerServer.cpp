#include "samphirehill/Serving/CallerServer.h"
#include "Sockets.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <spdlog/spdlog.h>
#include <utility>
#include <vector>

namespace samphirehill::serving {
namespace {

constexpr std::size_t ReadBytes = 8'192;
// Input that is buffered while a request is in progress (pipelined requests).
// Beyond that, reading stops until the request has been answered.
constexpr std::size_t MaxPipelinedBytes = 65'536;
// Output that may be pending for a caller that does not read. Beyond that, its
// connection is closed.
constexpr std::size_t MaxPendingOutputBytes = 4'194'304;
// How often the head and idle timeouts are checked.
constexpr Duration SweepPeriod = milliseconds(250);

} // namespace

// One connection of a caller. Callbacks hold shared_from_this(), so that the
// object outlives them.
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
        LastActive(Server.Timers.now()),
        HeldInput(Server.Bytes, endLater(&CallerConnection::refuseBody)),
        HeldRequest(Server.Bytes, {}),
        HeldOutput(Server.Bytes, endLater(&CallerConnection::dropOutput)) {}

  void start() {
    prepareSocket(Socket);
    read();
  }

  // Queues Bytes of a response. EndsResponse says whether they are its last.
  void send(std::string Bytes, bool EndsResponse) {
    if (!Socket.is_open())
      return;
    if (Output.size() + BeingWritten.size() > MaxPendingOutputBytes) {
      close("caller does not read");
      return;
    }
    Output += Bytes;
    HeldOutput.set(ByteUse::Output, Output.size() + BeingWritten.size());
    if (EndsResponse)
      responseComplete();
    write();
  }

  // Closes the connection and calls OnDisconnect of the request in progress, if
  // any.
  void close(std::string_view Reason) {
    if (!Socket.is_open())
      return;
    spdlog::debug("event=caller_closed reason=\"{}\"", Reason);
    std::error_code Ignored; // the connection ends either way
    Socket.close(Ignored);
    HeldInput.clear();
    HeldRequest.clear();
    HeldOutput.clear();
    std::shared_ptr<CallerRequest> Interrupted = std::move(CurrentRequest);
    std::shared_ptr<CallerConnection> Self = shared_from_this();
    if (Server)
      Server->Connections.erase(Self);
    if (!Interrupted)
      return;
    if (Server)
      ++Server->Counters.Disconnects;
    if (Interrupted->OnDisconnect)
      std::exchange(Interrupted->OnDisconnect, nullptr)();
  }

  bool closesAfterAnswer() const {
    return !KeepAlive || !Server || Server->Closing;
  }

  // Called when the server is destroyed; it must not be used afterwards.
  void detach() { Server = nullptr; }
  // Returns whether no request is in progress or partly received, and no output
  // is left to pass to the socket: an answer that is complete here may still
  // wait for the caller to read.
  bool isIdle() const {
    return !CurrentRequest && !Reader.inMessage() && Input.empty() &&
           !hasUnsentOutput();
  }

  void checkTimeouts(TimePoint Now) {
    if (CurrentRequest || hasUnsentOutput())
      return;
    bool HeadIsLate = !ClosesAfterWrite && Reader.inMessage() &&
                      Now - StartedAt > Server->Limits.HeadTimeout;
    bool MayClose = ClosesAfterWrite || isIdle();
    if (HeadIsLate)
      refuse(408);
    else if (MayClose && Now - LastActive > Server->LongestIdle)
      close("idle");
  }

private:
  // Returns a function that has End called soon, as it may itself be called
  // while the connection handles an event.
  std::function<void()> endLater(void (CallerConnection::*End)()) {
    return [this, End] {
      asio::post(Socket.get_executor(), [Weak = weak_from_this(), End] {
        if (std::shared_ptr<CallerConnection> Self = Weak.lock())
          (Self.get()->*End)();
      });
    };
  }

  // Refuses the request that is being received, as the process holds too many
  // bytes. Nothing of it has been passed on.
  void refuseBody() {
    if (!HeldInput.isEnding() || !Server || !Socket.is_open() || CurrentRequest)
      return;
    std::string().swap(Body); // releases its memory
    HeldInput.clear();
    refuse(503);
  }

  void dropOutput() {
    if (HeldOutput.isEnding())
      close("process holds too many bytes");
  }

  bool hasUnsentOutput() const {
    return !Output.empty() || !BeingWritten.empty();
  }

  void read() {
    if (Reading || !Socket.is_open())
      return;
    Reading = true;
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](std::error_code Failed, std::size_t Size) {
          Self->Reading = false;
          if (Failed)
            return Self->readFailed(Failed);
          Self->received(std::string_view(Self->Buffer.data(), Size));
        });
  }

  // Closes the connection. A caller that sends nothing more may still read an
  // answer that is complete but not yet written.
  void readFailed(std::error_code Failed) {
    if (Failed != asio::error::eof || CurrentRequest || !hasUnsentOutput())
      return close(Failed.message());
    ClosesAfterWrite = true;
    CallerEnded = true;
  }

  void received(std::string_view Bytes) {
    if (ClosesAfterWrite)
      return read(); // discards input that was sent before the close arrived
    Input += Bytes;
    process();
    if (Input.size() < MaxPipelinedBytes)
      read();
  }

  void process() {
    std::shared_ptr<CallerConnection> Self = shared_from_this();
    while (!CurrentRequest && !ClosesAfterWrite && !Input.empty() &&
           Socket.is_open()) {
      if (!Reader.inMessage()) {
        StartedAt = Server->Timers.now();
        Allowed = Server->Limits;
      }
      allowMore();
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

  // Takes over limits that have been raised. A request may have been sent
  // before a limit was lowered, so that applies to the next one.
  void allowMore() {
    Allowed.HeadBytes = std::max(Allowed.HeadBytes, Server->Limits.HeadBytes);
    Allowed.BodyBytes = std::max(Allowed.BodyBytes, Server->Limits.BodyBytes);
    Reader.setMaxHeadBytes(Allowed.HeadBytes);
  }

  void addBody(std::string_view Part) {
    if (Body.size() + Part.size() > Allowed.BodyBytes)
      TooLarge = true;
    if (!TooLarge)
      Body += Part;
    HeldInput.set(ByteUse::Request, Body.size());
  }

  void requestComplete() {
    if (TooLarge)
      return;
    ++Server->Counters.Requests;
    HttpRequest Request{Reader.method(), Reader.target(),
                        std::move(Reader.headers()), std::move(Body)};
    HeldRequest.set(ByteUse::Request, Request.Body.size());
    HeldInput.clear();
    Body.clear();
    CurrentRequest = std::make_shared<CallerRequest>(
        weak_from_this(), std::move(Request), StartedAt);
    Server->OnRequest(CurrentRequest);
  }

  // Answers a request that can't be accepted, and closes the connection.
  void refuse(int Status) {
    KeepAlive = false;
    send(serialize(HttpResponse{Status, {}, {}}, true), true);
  }

  void responseComplete() {
    CurrentRequest.reset();
    HeldRequest.clear();
    LastActive = Server ? Server->Timers.now() : LastActive;
    if (closesAfterAnswer())
      ClosesAfterWrite = true;
  }

  void write() {
    if (!BeingWritten.empty() || !Socket.is_open())
      return;
    if (Output.empty()) {
      afterWrite();
      return;
    }
    BeingWritten = std::exchange(Output, {});
    asio::async_write(
        Socket, asio::buffer(BeingWritten),
        [Self = shared_from_this()](std::error_code Failed, std::size_t) {
          Self->BeingWritten.clear();
          Self->HeldOutput.set(ByteUse::Output, Self->Output.size());
          if (Failed)
            return Self->close(Failed.message());
          if (Self->Server)
            Self->LastActive = Self->Server->Timers.now();
          Self->write();
        });
  }

  void afterWrite() {
    if (CallerEnded)
      return close("closed by the caller");
    if (ClosesAfterWrite) {
      std::error_code Ignored; // the caller may have closed first
      Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
      return;
    }
    if (CurrentRequest || Input.empty())
      return;
    process();
    read();
  }

  CallerServer *Server;
  asio::ip::tcp::socket Socket;
  std::array<char, ReadBytes> Buffer;
  std::string Input;
  std::string Body;
  std::string Output;       // not yet passed to the socket
  std::string BeingWritten; // by the write operation in progress, if any
  CallerLimits Allowed;     // for the request that is being received
  MessageReader Reader;
  std::shared_ptr<CallerRequest> CurrentRequest;
  TimePoint StartedAt{};
  TimePoint LastActive;
  bool KeepAlive = true;
  bool Reading = false;
  bool TooLarge = false;
  bool ClosesAfterWrite = false; // the last answer is being written
  bool CallerEnded = false;      // the caller has closed its side
  HeldBytes HeldInput;           // of a request that is being received
  HeldBytes HeldRequest;         // of the request in progress
  HeldBytes HeldOutput;
};

void CallerRequest::reply(const HttpResponse &Response) {
  OnDisconnect = nullptr;
  if (std::shared_ptr<CallerConnection> Locked = Connection.lock())
    Locked->send(serialize(Response, Locked->closesAfterAnswer()), true);
}

void CallerRequest::beginStream(const HttpResponse &Head) {
  if (std::shared_ptr<CallerConnection> Locked = Connection.lock())
    Locked->send(serializeChunkedHead(Head, Locked->closesAfterAnswer()),
                 false);
}

void CallerRequest::streamPart(std::string_view Data) {
  std::shared_ptr<CallerConnection> Locked = Connection.lock();
  if (Locked && !Data.empty())
    Locked->send(serializeChunk(Data), false);
}

void CallerRequest::endStream() {
  OnDisconnect = nullptr;
  if (std::shared_ptr<CallerConnection> Locked = Connection.lock())
    Locked->send(std::string(LastChunk), true);
}

void CallerRequest::abort() {
  OnDisconnect = nullptr;
  if (std::shared_ptr<CallerConnection> Locked = Connection.lock())
    Locked->close("answer aborted");
}

CallerServer::CallerServer(asio::io_context &Context, TimerService &Timers,
                           std::shared_ptr<ByteBudget> Bytes, Handler OnRequest)
    : Context(Context), Timers(Timers), Bytes(std::move(Bytes)),
      OnRequest(std::move(OnRequest)), Acceptor(Context),
      LongestIdle(Limits.IdleTimeout) {}

CallerServer::~CallerServer() {
  for (const std::shared_ptr<CallerConnection> &Connection : Connections)
    Connection->detach();
}

Result<void> CallerServer::listen(const SocketAddress &Address) {
  BOOST_LEAF_CHECK(openAcceptor(Acceptor, Address));
  Sweep = Timers.every(SweepPeriod, [this] { sweep(); });
  accept();
  return {};
}

void CallerServer::accept() {
  Acceptor.async_accept(
      [this](std::error_code Failed, asio::ip::tcp::socket Socket) {
        if (Failed == asio::error::operation_aborted)
          return;
        if (Failed) {
          spdlog::warn("event=accept_failed error=\"{}\"", Failed.message());
        } else {
          ++Counters.Connections;
          auto Connection =
              std::make_shared<CallerConnection>(*this, std::move(Socket));
          Connections.insert(Connection);
          Connection->start();
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
  for (const std::shared_ptr<CallerConnection> &Connection : Open) {
    if (Connection->isIdle())
      Connection->close("shutdown");
  }
}

void CallerServer::sweep() {
  TimePoint Now = Timers.now();
  std::vector<std::shared_ptr<CallerConnection>> Open(Connections.begin(),
                                                      Connections.end());
  for (const std::shared_ptr<CallerConnection> &Connection : Open)
    Connection->checkTimeouts(Now);
}

} // namespace samphirehill::serving

#include "samphirehill/Serving/UpstreamExchange.h"
#include "Sockets.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <spdlog/spdlog.h>
#include <utility>

namespace samphirehill::serving {
namespace {

constexpr std::size_t ReadBytes = 8'192;
constexpr std::size_t MaxResponseHeadBytes = 65'536;
// Whole answers that call collects; the platform's values are 1 MB at most.
constexpr std::size_t MaxCollectedBytes = 16'777'216;
constexpr std::size_t MaxIdlePerAddress = 32;
// Answers that belong to other requests, and bytes of their bodies, that are
// passed over before the peer is taken for faulty.
constexpr int MaxForeignAnswers = 8;
constexpr std::size_t MaxForeignBytes = 1'048'576;
// A kept connection is given up this long before its peer's timeout.
constexpr Duration IdleMargin = milliseconds(500);

// Returns the timeout of a Keep-Alive header, if it states one.
std::optional<Duration> keepAliveTimeout(const HeaderList &Headers) {
  const std::string *Value = findHeader(Headers, "keep-alive");
  if (!Value)
    return std::nullopt;
  std::size_t At = Value->find("timeout=");
  if (At == std::string::npos)
    return std::nullopt;
  std::int64_t Seconds = 0;
  const char *Begin = Value->data() + At + 8;
  auto [End, Failed] =
      std::from_chars(Begin, Value->data() + Value->size(), Seconds);
  if (Failed != std::errc() || End == Begin)
    return std::nullopt;
  return seconds(Seconds);
}

} // namespace

class PooledConnection : public std::enable_shared_from_this<PooledConnection> {
public:
  PooledConnection(ExchangePool &Pool, SocketAddress Address)
      : Pool(&Pool), Address(std::move(Address)), Socket(Pool.Context),
        Reader(MessageKind::Response, MaxResponseHeadBytes,
               MessageHandlers{[this](bool Keep) { return head(Keep); },
                               [this](std::string_view Part) { body(Part); },
                               [this] { messageComplete(); }}) {}

  ~PooledConnection() {
    if (Pool)
      Pool->All.erase(this);
  }

  void begin(std::string Bytes, const ExchangeOptions &Chosen,
             ExchangeHandlers Given) {
    Output = std::move(Bytes);
    Options = Chosen;
    Handlers = std::move(Given);
    Busy = true;
    WriteDone = false;
    ForeignAnswers = 0;
    ForeignBytes = 0;
    Reused = Connected;
    if (Connected)
      write();
    else
      connect();
  }

  void cancel() {
    // One of the handlers may be running.
    if (Pool)
      asio::post(Pool->Context, [Old = std::exchange(Handlers, {})] {});
    Handlers = {};
    Busy = false;
    close();
  }

  void close() {
    std::error_code Ignored; // the connection ends either way
    Socket.close(Ignored);
    ConnectTimer.cancel();
    if (Pool)
      forget();
  }

  void detach() {
    Handlers = {};
    Pool = nullptr;
    close();
  }

  bool usable(TimePoint Now, Duration MaxIdle) const {
    return Socket.is_open() && Now - IdleSince < std::min(MaxIdle, PeerIdle);
  }

  bool sent() const { return SentAny; }
  bool reused() const { return Reused; }

  // No answer has come in time. Kept connections go silent together, each
  // until a time limit of its own.
  void noteSilence() {
    if (Reused && Pool)
      Pool->closeIdle(Address);
  }

private:
  void forget() {
    auto Found = Pool->Idle.find(Address);
    if (Found == Pool->Idle.end())
      return;
    std::erase_if(Found->second,
                  [this](const auto &Each) { return Each.get() == this; });
    if (Found->second.empty())
      Pool->Idle.erase(Found);
  }

  void connect() {
    std::optional<asio::ip::tcp::endpoint> Endpoint = endpointOf(Address);
    if (!Endpoint) {
      asio::post(Pool->Context, [Self = shared_from_this()] {
        Self->fail("address is no IP number");
      });
      return;
    }
    ++Pool->Counters.Connects;
    ConnectTimer =
        Pool->Timers.after(Options.ConnectTimeout, [Weak = weak_from_this()] {
          if (std::shared_ptr<PooledConnection> Self = Weak.lock())
            Self->fail("connect timed out", ExchangeFailure::ConnectTimedOut);
        });
    Socket.async_connect(*Endpoint,
                         [Self = shared_from_this()](std::error_code Failed) {
                           if (!Self->Busy)
                             return;
                           if (Failed)
                             return Self->fail("connect: " + Failed.message());
                           Self->ConnectTimer.cancel();
                           Self->Connected = true;
                           prepareSocket(Self->Socket);
                           Self->write();
                           Self->read();
                         });
  }

  void write() {
    if (Options.StillAllowed && !Options.StillAllowed()) {
      asio::post(Pool->Context, [Self = shared_from_this()] {
        Self->fail("no longer allowed");
      });
      return;
    }
    SentAny = true;
    asio::async_write(
        Socket, asio::buffer(Output),
        [Self = shared_from_this()](std::error_code Failed, std::size_t) {
          Self->WriteDone = true;
          // The read side tells how the exchange ends: an answer may have
          // come before a peer that stopped reading closed.
          if (Failed && Self->Busy)
            spdlog::debug(
                "event=upstream_write_failed upstream={} error=\"{}\"",
                Self->Address.str(), Failed.message());
        });
  }

  void read() {
    Socket.async_read_some(
        asio::buffer(Buffer),
        [Self = shared_from_this()](std::error_code Failed, std::size_t Size) {
          if (Failed)
            return Self->readFailed(Failed);
          Self->received(std::string_view(Self->Buffer.data(), Size));
        });
  }

  void readFailed(std::error_code Failed) {
    if (!Busy)
      return close();
    if (Failed == asio::error::timed_out)
      noteSilence();
    bool Ordered = Failed == asio::error::eof;
    if (Ordered)
      Reader.readEnd();
    if (std::exchange(Ended, false))
      return answered(false);
    if (Busy)
      fail(Ordered ? "closed by the peer" : Failed.message());
  }

  void received(std::string_view Bytes) {
    while (!Bytes.empty()) {
      if (!Busy) {
        // Bytes after the answer belong to no request.
        if (Pool)
          ++Pool->Counters.StrayAnswers;
        return close();
      }
      std::size_t Taken = Reader.read(Bytes);
      if (Reader.error() != ReadError::None)
        return fail("answer is malformed");
      if (!Socket.is_open())
        return;
      if (ForeignAnswers > MaxForeignAnswers || ForeignBytes > MaxForeignBytes)
        return fail("answers to other requests without end");
      Bytes.remove_prefix(Taken);
      if (!std::exchange(Ended, false))
        continue;
      // Bytes behind the answer may be a second copy of it, which must not be
      // taken for the answer to the next request.
      bool Clean = Bytes.empty();
      if (!Clean && Pool)
        ++Pool->Counters.StrayAnswers;
      answered(Clean);
      if (!Clean)
        return;
    }
    read();
  }

  bool head(bool Keep) {
    PeerKeeps = Keep;
    Ours = false;
    if (Reader.status() >= 200) {
      HttpResponse Head{Reader.status(), Reader.headers(), {}};
      Ours = Handlers.OnHead && Handlers.OnHead(Head);
      if (!Ours && Busy && Pool)
        ++Pool->Counters.StrayAnswers;
    }
    if (!Ours)
      ++ForeignAnswers;
    if (std::optional<Duration> Stated = keepAliveTimeout(Reader.headers()))
      PeerIdle = *Stated - IdleMargin;
    return !Options.AnswerHasNoBody;
  }

  void body(std::string_view Part) {
    if (!Ours)
      ForeignBytes += Part.size();
    else if (Handlers.OnBody)
      Handlers.OnBody(Part);
  }

  void messageComplete() {
    if (!Busy)
      return; // cancelled by a handler
    if (!Ours) {
      if (!PeerKeeps && Reader.status() >= 200)
        fail("closed after another request's answer");
      return;
    }
    Ended = true;
  }

  // The request's answer is complete. MayKeep: the connection can carry more.
  void answered(bool MayKeep) {
    std::shared_ptr<PooledConnection> Self = shared_from_this();
    ExchangeHandlers Finished = std::exchange(Handlers, {});
    Busy = false;
    if (MayKeep && Options.Keep && PeerKeeps && WriteDone && Pool)
      release();
    else
      close();
    if (Finished.OnEnd)
      Finished.OnEnd();
  }

  void release() {
    std::vector<std::shared_ptr<PooledConnection>> &Kept = Pool->Idle[Address];
    if (Kept.size() >= MaxIdlePerAddress)
      return close();
    IdleSince = Pool->Timers.now();
    SentAny = false;
    Kept.push_back(shared_from_this());
  }

  void fail(const std::string &Cause,
            ExchangeFailure Unsent = ExchangeFailure::NotSent) {
    if (!Busy)
      return;
    std::shared_ptr<PooledConnection> Self = shared_from_this();
    ExchangeHandlers Finished = std::exchange(Handlers, {});
    Busy = false;
    if (!Connected && Pool)
      ++Pool->Counters.ConnectFailures;
    close();
    if (Finished.OnFailure)
      Finished.OnFailure(SentAny ? ExchangeFailure::Broken : Unsent, Cause);
  }

  ExchangePool *Pool;
  SocketAddress Address;
  asio::ip::tcp::socket Socket;
  std::array<char, ReadBytes> Buffer;
  std::string Output;
  ExchangeOptions Options;
  ExchangeHandlers Handlers;
  MessageReader Reader;
  TimerSubscription ConnectTimer;
  TimePoint IdleSince{};
  Duration PeerIdle = std::chrono::hours(1);
  bool Busy = false;
  bool Reused = false; // it was kept after an earlier answer
  bool Connected = false;
  bool SentAny = false;
  bool WriteDone = false;
  bool PeerKeeps = true;
  bool Ours = false;
  bool Ended = false;     // the answer is complete, and not told yet
  int ForeignAnswers = 0; // since the request was sent
  std::size_t ForeignBytes = 0;
};

void Exchange::cancel() {
  if (std::shared_ptr<PooledConnection> Held = Connection.lock())
    Held->cancel();
}

void Exchange::cancelAfterTimeout() {
  std::shared_ptr<PooledConnection> Held = Connection.lock();
  if (!Held)
    return;
  Held->noteSilence();
  Held->cancel();
}

bool Exchange::reused() const {
  std::shared_ptr<PooledConnection> Held = Connection.lock();
  return Held && Held->reused();
}

bool Exchange::sent() const {
  std::shared_ptr<PooledConnection> Held = Connection.lock();
  return !Held || Held->sent();
}

ExchangePool::~ExchangePool() {
  auto Open = std::exchange(All, {});
  for (const auto &[Raw, Weak] : Open) {
    if (std::shared_ptr<PooledConnection> Held = Weak.lock())
      Held->detach();
  }
}

std::shared_ptr<PooledConnection>
ExchangePool::takeIdle(const SocketAddress &Address,
                       const ExchangeOptions &Options) {
  auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return nullptr;
  TimePoint Now = Timers.now();
  std::vector<std::shared_ptr<PooledConnection>> &Kept = Found->second;
  if (Kept.empty() || !Kept.back()->usable(Now, Options.MaxIdle)) {
    if (Options.CloseExpired)
      closeIdle(Address);
    return nullptr;
  }
  std::shared_ptr<PooledConnection> Taken = std::move(Kept.back());
  Kept.pop_back();
  return Taken;
}

std::shared_ptr<Exchange> ExchangePool::start(const SocketAddress &Address,
                                              std::string Bytes,
                                              const ExchangeOptions &Options,
                                              ExchangeHandlers Handlers) {
  std::shared_ptr<PooledConnection> Used = takeIdle(Address, Options);
  if (Used) {
    ++Counters.Reused;
  } else {
    Used = std::make_shared<PooledConnection>(*this, Address);
    All[Used.get()] = Used;
  }
  Used->begin(std::move(Bytes), Options, std::move(Handlers));
  return std::make_shared<Exchange>(Used);
}

std::shared_ptr<Exchange> ExchangePool::call(
    const SocketAddress &Address, const HttpRequest &Request, Duration Limit,
    std::function<void(Outcome<HttpResponse>)> Done, ExchangeOptions Options) {
  struct Call {
    HttpResponse Answer;
    TimerSubscription Timer;
    std::shared_ptr<Exchange> Running;
    std::function<void(Outcome<HttpResponse>)> Done;
  };
  auto State = std::make_shared<Call>();
  State->Done = std::move(Done);
  auto Finish = [State](Outcome<HttpResponse> Result) {
    State->Timer.cancel();
    State->Running.reset();
    if (State->Done)
      std::exchange(State->Done, nullptr)(std::move(Result));
  };
  ExchangeHandlers Handlers;
  Handlers.OnHead = [State](const HttpResponse &Head) {
    State->Answer = Head;
    return true;
  };
  Handlers.OnBody = [State, Finish](std::string_view Part) {
    if (State->Answer.Body.size() + Part.size() > MaxCollectedBytes) {
      if (State->Running)
        State->Running->cancel();
      Finish(Error{ResultCode::BadAnswer, "answer is too large"});
      return;
    }
    State->Answer.Body += Part;
  };
  Handlers.OnEnd = [State, Finish] { Finish(std::move(State->Answer)); };
  Handlers.OnFailure = [Finish](ExchangeFailure Kind,
                                const std::string &Cause) {
    ResultCode Code = ResultCode::ConnectFailed;
    if (Kind == ExchangeFailure::ConnectTimedOut)
      Code = ResultCode::Timeout;
    if (Kind == ExchangeFailure::Broken)
      Code = ResultCode::UpstreamLost;
    Finish(Error{Code, Cause});
  };
  Options.ConnectTimeout = std::min(Limit, Options.ConnectTimeout);
  State->Running = start(Address, serialize(Request), Options, Handlers);
  State->Timer = Timers.after(Limit, [State, Finish] {
    if (State->Running)
      State->Running->cancelAfterTimeout();
    Finish(Error{ResultCode::Timeout, "no answer in time"});
  });
  return State->Running;
}

void ExchangePool::closeIdle(const SocketAddress &Address) {
  retain([&](const SocketAddress &Each) { return Each != Address; });
}

void ExchangePool::retain(
    const std::function<bool(const SocketAddress &)> &Keep) {
  std::vector<std::shared_ptr<PooledConnection>> Ended;
  for (const auto &[Address, Kept] : Idle) {
    if (!Keep(Address))
      Ended.insert(Ended.end(), Kept.begin(), Kept.end());
  }
  for (const std::shared_ptr<PooledConnection> &Each : Ended)
    Each->close();
}

} // namespace samphirehill::serving

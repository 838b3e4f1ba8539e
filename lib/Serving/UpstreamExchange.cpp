#include "samphirehill/Serving/UpstreamExchange.h"
#include "Sockets.h"

#include "samphirehill/Core/Hash.h"

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
constexpr std::size_t MaxIdlePerAddress = 32;
// Number of answers to other requests (and of interim responses), and bytes of
// their bodies, that are skipped for one request before the peer is considered
// faulty.
constexpr int MaxOtherAnswers = 8;
constexpr std::size_t MaxOtherBytes = 1'048'576;
// A connection that has carried this many request ids is not pooled again, so
// that the record of them stays short.
constexpr std::size_t MaxCarriedIds = 256;
// A pooled connection is used until this long before the peer's idle timeout.
constexpr Duration IdleMargin = milliseconds(500);
// A peer that has closed its socket resets the connection when the rest of the
// request arrives, well within this time.
constexpr Duration ResetWait = milliseconds(500);

// Returns the timeout that a Keep-Alive header states, if there is one.
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

// One connection, which carries one request at a time and is pooled in between.
// Callbacks hold shared_from_this(), so that the object outlives them.
class PooledConnection : public std::enable_shared_from_this<PooledConnection> {
public:
  PooledConnection(ExchangePool &Pool, SocketAddress Address)
      : Pool(&Pool), Address(std::move(Address)), Socket(Pool.Context),
        Reader(
            MessageKind::Response, MaxResponseHeadBytes,
            MessageHandlers{[this](bool Keep) { return handleHead(Keep); },
                            [this](std::string_view Part) { handleBody(Part); },
                            [this] { messageComplete(); }}) {}

  ~PooledConnection() {
    if (Pool)
      Pool->All.erase(this);
  }

  // Starts a request: connects first unless the connection is a pooled one.
  void begin(std::string Bytes, const ExchangeOptions &NewOptions,
             ExchangeHandlers Callbacks) {
    Output = std::move(Bytes);
    Options = NewOptions;
    Handlers = std::move(Callbacks);
    Busy = true;
    WriteDone = false;
    WriteError.clear();
    OtherAnswers = 0;
    OtherBytes = 0;
    ++Requests;
    if (Options.RequestId)
      CarriedIds.push_back(hashBytes(*Options.RequestId));
    if (Connected)
      write();
    else
      connect();
  }

  void cancel() {
    // One of the handlers may be running, so they are destroyed later.
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
    ResetTimer.cancel();
    if (Pool)
      removeFromPool();
  }

  // Closes the connection without calling handlers: the pool is destroyed.
  void detach() {
    Handlers = {};
    Busy = false;
    Pool = nullptr;
    close();
  }

  // Returns whether the pooled connection may carry another request.
  bool isUsable(TimePoint Now, Duration MaxIdle) const {
    return Socket.is_open() &&
           Now - IdleSince < std::min(MaxIdle, PeerIdleTimeout);
  }

  // Returns whether the connection has carried a request whose id has this
  // hash.
  bool hasCarried(std::uint64_t Id) const {
    return std::find(CarriedIds.begin(), CarriedIds.end(), Id) !=
           CarriedIds.end();
  }

  bool sent() const { return SentAny; }
  int requests() const { return Requests; }
  bool reused() const { return Requests > 1; }

  // Called when no answer was received in time on a pooled connection. Pooled
  // connections to one address often stop working together; without this, each
  // of them would cost its next request a timeout.
  void closeIdleToSameAddress() {
    if (reused() && Pool)
      Pool->closeIdle(Address);
  }

private:
  void removeFromPool() {
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
        Self->fail("address is not an IP address");
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
                             return Self->connectFailed(Failed);
                           Self->ConnectTimer.cancel();
                           Self->Connected = true;
                           prepareSocket(Self->Socket);
                           Self->write();
                           Self->read();
                         });
  }

  void connectFailed(std::error_code Failed) {
    fail("connect: " + Failed.message(),
         Failed == asio::error::connection_refused ? ExchangeFailure::Refused
                                                   : ExchangeFailure::NotSent);
  }

  void write() {
    if (Options.StillAllowed && !Options.StillAllowed()) {
      asio::post(Pool->Context, [Self = shared_from_this()] {
        Self->fail("no longer allowed to send", ExchangeFailure::NotAllowed);
      });
      return;
    }
    SentAny = true;
    asio::async_write(
        Socket, asio::buffer(Output),
        [Self = shared_from_this()](std::error_code Failed, std::size_t) {
          Self->written(Failed);
        });
  }

  void written(std::error_code Failed) {
    WriteDone = true;
    WriteError = Failed;
    if (!Busy)
      return;
    // The read operation decides how the exchange ends: the peer may have
    // answered before it stopped reading and closed.
    if (Failed)
      spdlog::debug("event=upstream_write_failed upstream={} error=\"{}\"",
                    Address.str(), Failed.message());
    if (EndOfFileSeen)
      endWithConnection();
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
    EndOfFileSeen = Failed == asio::error::eof;
    if (EndOfFileSeen)
      return endWithConnection();
    connectionFailed(Failed);
  }

  void connectionFailed(std::error_code Failed) {
    if (Failed == asio::error::timed_out)
      closeIdleToSameAddress();
    fail(Failed.message());
  }

  // Ends the exchange after an end of file, which also ends an answer without a
  // length, unless the connection has failed. A socket reports a failure once:
  // if the write operation gets it, the read operation gets an end of file.
  void endWithConnection() {
    if (WriteError)
      return connectionFailed(WriteError);
    Reader.readEnd();
    if (!AnswerComplete)
      return fail("closed by the peer");
    if (WriteDone)
      return finishAnswer(false);
    // The peer may have ended the answer, or may be gone.
    ResetTimer = Pool->Timers.after(ResetWait, [Weak = weak_from_this()] {
      if (std::shared_ptr<PooledConnection> Self = Weak.lock())
        Self->finishAnswer(false);
    });
  }

  void received(std::string_view Bytes) {
    while (!Bytes.empty()) {
      if (!Busy) {
        // Bytes on an idle connection belong to no request.
        if (Pool)
          ++Pool->Counters.StrayAnswers;
        return close();
      }
      std::size_t Taken = Reader.read(Bytes);
      if (Reader.error() != ReadError::None)
        return fail("answer is malformed", ExchangeFailure::NotSent,
                    ExchangeFailure::Unusable);
      if (!Socket.is_open())
        return;
      if (OtherAnswers > MaxOtherAnswers || OtherBytes > MaxOtherBytes)
        return fail("too many answers to other requests",
                    ExchangeFailure::NotSent, ExchangeFailure::Unusable);
      Bytes.remove_prefix(Taken);
      if (!std::exchange(AnswerComplete, false))
        continue;
      // Bytes after the answer may be a second copy of it, which must not be
      // mistaken for the answer to the next request.
      bool NothingFollows = Bytes.empty();
      if (!NothingFollows && Pool)
        ++Pool->Counters.StrayAnswers;
      finishAnswer(NothingFollows);
      if (!NothingFollows)
        return;
    }
    read();
  }

  bool handleHead(bool Keep) {
    PeerKeepsAlive = Keep;
    AnswersRequest = false;
    if (Reader.status() >= 200) {
      HttpResponse Head{Reader.status(), Reader.headers(), {}};
      AnswersRequest = Handlers.OnHead && Handlers.OnHead(Head);
      if (!AnswersRequest && Busy && Pool)
        ++Pool->Counters.StrayAnswers;
    }
    if (!AnswersRequest)
      ++OtherAnswers;
    if (std::optional<Duration> Stated = keepAliveTimeout(Reader.headers()))
      PeerIdleTimeout = *Stated - IdleMargin;
    // The connection ends with this answer: the peer says so, or the answer has
    // no length. The request's own answer can't follow.
    if (!AnswersRequest && !Keep && Reader.status() >= 200)
      fail("another request's answer ends the connection",
           ExchangeFailure::NotSent, ExchangeFailure::Unusable);
    return !Options.AnswerHasNoBody;
  }

  void handleBody(std::string_view Part) {
    if (!AnswersRequest)
      OtherBytes += Part.size();
    else if (Handlers.OnBody)
      Handlers.OnBody(Part);
  }

  void messageComplete() {
    if (!Busy)
      return; // cancelled by a handler
    AnswerComplete = AnswersRequest;
  }

  // Called when the request's answer is complete. MayKeep says whether the
  // connection may carry another request.
  void finishAnswer(bool MayKeep) {
    std::shared_ptr<PooledConnection> Self = shared_from_this();
    ExchangeHandlers Finished = std::exchange(Handlers, {});
    Busy = false;
    // The copy of an answer without a body would take up the next answer as the
    // body that its length names.
    if (MayKeep && Options.Keep && !Options.AnswerHasNoBody && PeerKeepsAlive &&
        WriteDone && !WriteError && Pool)
      release();
    else
      close();
    if (Finished.OnEnd)
      Finished.OnEnd();
  }

  // Returns the connection to the pool, or closes it if the pool is full.
  void release() {
    std::vector<std::shared_ptr<PooledConnection>> &IdleConnections =
        Pool->Idle[Address];
    if (IdleConnections.size() >= MaxIdlePerAddress ||
        CarriedIds.size() >= MaxCarriedIds)
      return close();
    IdleSince = Pool->Timers.now();
    SentAny = false;
    IdleConnections.push_back(shared_from_this());
  }

  // Ends the request without an answer. Unsent is the kind of failure to report
  // if no byte of the request was sent, Sent the one otherwise.
  void fail(const std::string &Cause,
            ExchangeFailure Unsent = ExchangeFailure::NotSent,
            ExchangeFailure Sent = ExchangeFailure::Broken) {
    if (!Busy)
      return;
    std::shared_ptr<PooledConnection> Self = shared_from_this();
    ExchangeHandlers Finished = std::exchange(Handlers, {});
    Busy = false;
    if (!Connected && Pool)
      ++Pool->Counters.ConnectFailures;
    close();
    if (Finished.OnFailure)
      Finished.OnFailure(SentAny ? Sent : Unsent, Cause);
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
  TimerSubscription ResetTimer;
  TimePoint IdleSince{};
  Duration PeerIdleTimeout = std::chrono::hours(1);
  int Requests = 0; // that it has carried, the current one included
  std::vector<std::uint64_t> CarriedIds; // hashes of these requests' ids
  bool Busy = false;
  bool Connected = false;
  bool SentAny = false;
  bool WriteDone = false;
  std::error_code WriteError; // if WriteDone
  bool EndOfFileSeen = false;
  bool PeerKeepsAlive = true;
  bool AnswersRequest = false; // the message being read is the answer
  bool AnswerComplete = false; // but OnEnd has not been called yet
  int OtherAnswers = 0;        // since the request was sent
  std::size_t OtherBytes = 0;
};

std::shared_ptr<PooledConnection> Exchange::current() const {
  std::shared_ptr<PooledConnection> Locked = Connection.lock();
  return Locked && Locked->requests() == Number ? Locked : nullptr;
}

void Exchange::cancel() {
  if (std::shared_ptr<PooledConnection> Current = current())
    Current->cancel();
}

void Exchange::cancelAfterTimeout() {
  std::shared_ptr<PooledConnection> Current = current();
  if (!Current)
    return;
  Current->closeIdleToSameAddress();
  Current->cancel();
}

bool Exchange::sent() const {
  std::shared_ptr<PooledConnection> Current = current();
  return !Current || Current->sent();
}

ExchangePool::~ExchangePool() {
  auto Open = std::exchange(All, {});
  for (const auto &[Raw, Weak] : Open) {
    if (std::shared_ptr<PooledConnection> Locked = Weak.lock())
      Locked->detach();
  }
}

std::shared_ptr<PooledConnection>
ExchangePool::takeIdle(const SocketAddress &Address,
                       const ExchangeOptions &Options) {
  auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return nullptr;
  TimePoint Now = Timers.now();
  std::vector<std::shared_ptr<PooledConnection>> &IdleConnections =
      Found->second;
  if (IdleConnections.empty() ||
      !IdleConnections.back()->isUsable(Now, Options.MaxIdle)) {
    if (Options.CloseExpired)
      closeIdle(Address);
    return nullptr;
  }
  if (Options.RequestId && Options.RequestId->empty())
    return nullptr;
  std::optional<std::uint64_t> Id;
  if (Options.RequestId)
    Id = hashBytes(*Options.RequestId);
  auto Newest = std::find_if(IdleConnections.rbegin(), IdleConnections.rend(),
                             [&](const auto &Each) {
                               return Each->isUsable(Now, Options.MaxIdle) &&
                                      !(Id && Each->hasCarried(*Id));
                             });
  if (Newest == IdleConnections.rend())
    return nullptr;
  std::shared_ptr<PooledConnection> Taken = std::move(*Newest);
  IdleConnections.erase(std::next(Newest).base());
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
  return std::make_shared<Exchange>(Used, Used->requests());
}

namespace {

// A request whose complete answer is collected.
struct CollectedCall {
  HttpResponse Answer;
  TimerSubscription Timer;
  std::shared_ptr<Exchange> Running;
  std::function<void(Outcome<HttpResponse>)> Done;
  std::unique_ptr<HeldBytes> Held; // of Answer
};

void finish(CollectedCall &Call, Outcome<HttpResponse> Result) {
  Call.Timer.cancel();
  Call.Running.reset();
  Call.Held->clear();
  if (Call.Done)
    std::exchange(Call.Done, nullptr)(std::move(Result));
}

void refuseAnswer(CollectedCall &Call, const std::string &Cause) {
  if (Call.Running)
    Call.Running->cancel();
  finish(Call, Error{ResultCode::BadAnswer, Cause});
}

} // namespace

std::shared_ptr<Exchange> ExchangePool::call(
    const SocketAddress &Address, const HttpRequest &Request, Duration Limit,
    std::function<void(Outcome<HttpResponse>)> Done, ExchangeOptions Options) {
  auto State = std::make_shared<CollectedCall>();
  State->Done = std::move(Done);
  State->Held = std::make_unique<HeldBytes>(
      Bytes, [&Context = Context, Weak = std::weak_ptr<CollectedCall>(State)] {
        asio::post(Context, [Weak] {
          std::shared_ptr<CollectedCall> Ending = Weak.lock();
          if (Ending && Ending->Held->isEnding())
            refuseAnswer(*Ending, "process holds too many bytes");
        });
      });
  ExchangeHandlers Handlers;
  Handlers.OnHead = [State](const HttpResponse &Head) {
    State->Answer = Head;
    return true;
  };
  Handlers.OnBody = [State,
                     Most = Options.MaxBodyBytes](std::string_view Part) {
    if (State->Answer.Body.size() + Part.size() > Most)
      return refuseAnswer(*State, "answer is too large");
    State->Answer.Body += Part;
    State->Held->set(ByteUse::Answer, State->Answer.Body.size());
  };
  Handlers.OnEnd = [State] { finish(*State, std::move(State->Answer)); };
  Handlers.OnFailure = [State](ExchangeFailure Kind, const std::string &Cause) {
    ResultCode Code = ResultCode::ConnectFailed;
    if (Kind == ExchangeFailure::ConnectTimedOut)
      Code = ResultCode::Timeout;
    if (Kind == ExchangeFailure::Broken || Kind == ExchangeFailure::Unusable)
      Code = ResultCode::UpstreamLost;
    finish(*State, Error{Code, Cause});
  };
  Options.ConnectTimeout = std::min(Limit, Options.ConnectTimeout);
  State->Running = start(Address, serialize(Request), Options, Handlers);
  State->Timer = Timers.after(Limit, [State] {
    if (State->Running)
      State->Running->cancelAfterTimeout();
    finish(*State, Error{ResultCode::Timeout, "no answer in time"});
  });
  return State->Running;
}

void ExchangePool::closeIdle(const SocketAddress &Address) {
  retain([&](const SocketAddress &Other) { return Other != Address; });
}

void ExchangePool::retain(
    const std::function<bool(const SocketAddress &)> &Keep) {
  std::vector<std::shared_ptr<PooledConnection>> ToClose;
  for (const auto &[Address, IdleConnections] : Idle) {
    if (!Keep(Address))
      ToClose.insert(ToClose.end(), IdleConnections.begin(),
                     IdleConnections.end());
  }
  for (const std::shared_ptr<PooledConnection> &Connection : ToClose)
    Connection->close();
}

void ExchangePool::checkConnect(const SocketAddress &Address,
                                std::function<void(ConnectCheck Seen)> Done) {
  ExchangeOptions Options;
  Options.MaxIdle = Duration::zero(); // a new connection
  auto Accepted = std::make_shared<bool>(false);
  Options.StillAllowed = [Accepted] {
    *Accepted = true;
    return false;
  };
  ExchangeHandlers Handlers;
  Handlers.OnHead = [](const HttpResponse &) { return false; };
  Handlers.OnBody = [](std::string_view) {};
  Handlers.OnEnd = [] {};
  Handlers.OnFailure = [Done = std::move(Done), Accepted](ExchangeFailure Kind,
                                                          const std::string &) {
    Done(Kind == ExchangeFailure::Refused ? ConnectCheck::Refused
         : *Accepted                      ? ConnectCheck::Accepted
                                          : ConnectCheck::Unanswered);
  };
  start(Address, {}, Options, std::move(Handlers));
}

} // namespace samphirehill::serving

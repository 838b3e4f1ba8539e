#include "samphirehill/Net/HttpClient.h"

#include "samphirehill/Core/HttpSyntax.h"
#include "samphirehill/Limits/ByteBudget.h"

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <cctype>
#include <curl/curl.h>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_map>

namespace samphirehill {
namespace {

constexpr int PollMilliseconds = 1000;
constexpr long MaxIdleConnections = 256;
// Bounds one answer that is collected, and the sum of those of a client.
constexpr std::size_t MaxAnswerBytes = 16'777'216;
constexpr std::size_t MaxCollectedBytes = 96'000'000;

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](unsigned char A, unsigned char B) {
                      return std::tolower(A) == std::tolower(B);
                    });
}

void initialiseCurl() {
  static std::once_flag Once;
  std::call_once(Once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Space = " \t\r\n";
  std::size_t First = Text.find_first_not_of(Space);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Space) - First + 1);
}

} // namespace

std::string lowerCase(std::string Text) {
  std::ranges::transform(Text, Text.begin(), [](unsigned char Each) {
    return static_cast<char>(std::tolower(Each));
  });
  return Text;
}

std::string findHeader(const HttpHeaders &Headers, const std::string &Name) {
  for (const auto &[Key, Value] : Headers)
    if (equalsIgnoringCase(Key, Name))
      return Value;
  return "";
}

// Owns the curl handles. Only the driver's thread touches them; other threads
// leave commands under the mutex and wake it.
class HttpClient::Driver {
public:
  explicit Driver(asio::io_context &Context) : Context(Context) {
    initialiseCurl();
    Multi = curl_multi_init();
    curl_multi_setopt(Multi, CURLMOPT_MAXCONNECTS, MaxIdleConnections);
    Worker = std::thread([this] { run(); });
  }

  ~Driver() {
    Stopping = true;
    curl_multi_wakeup(Multi);
    Worker.join();
    for (auto &[Id, Running] : Transfers)
      release(*Running);
    curl_multi_cleanup(Multi);
  }

  CallId add(HttpRequest Request, HttpStreamCallbacks Callbacks, bool Whole) {
    auto Added = std::make_unique<Transfer>();
    Added->Id = ++LastId;
    Added->Request = std::move(Request);
    Added->Whole = Whole;
    Added->Owner = this;
    CallId Id = Added->Id;
    {
      std::lock_guard Lock(Mutex);
      Handlers->emplace(
          Id, std::make_shared<HttpStreamCallbacks>(std::move(Callbacks)));
      Starting.push_back(std::move(Added));
    }
    curl_multi_wakeup(Multi);
    return Id;
  }

  void cancel(CallId Id) {
    {
      std::lock_guard Lock(Mutex);
      Handlers->erase(Id);
      Cancelled.push_back(Id);
    }
    curl_multi_wakeup(Multi);
  }

private:
  struct Transfer {
    CallId Id = 0;
    HttpRequest Request;
    HttpResponse Response;
    bool Whole = true;
    bool InHead = false; // its status line has been read, but not its end
    bool HeadersPosted = false;
    std::unique_ptr<HeldBytes> Held; // of Response.Body
    Driver *Owner = nullptr;
    CURL *Easy = nullptr;
    curl_slist *HeaderList = nullptr;
  };

  // Callbacks by call; shared with posted tasks, which may run after the client
  // is gone and then find nothing to call.
  using HandlerPtr = std::shared_ptr<HttpStreamCallbacks>;
  using HandlerMap = std::unordered_map<CallId, HandlerPtr>;

  void run() {
    while (!Stopping) {
      startAndCancel();
      int Running = 0;
      curl_multi_perform(Multi, &Running);
      finishTransfers();
      curl_multi_poll(Multi, nullptr, 0, PollMilliseconds, nullptr);
    }
  }

  void startAndCancel() {
    std::vector<std::unique_ptr<Transfer>> ToStart;
    std::vector<CallId> ToCancel;
    {
      std::lock_guard Lock(Mutex);
      ToStart.swap(Starting);
      ToCancel.swap(Cancelled);
    }
    for (std::unique_ptr<Transfer> &Added : ToStart)
      start(std::move(Added));
    for (CallId Id : ToCancel)
      drop(Id);
  }

  void start(std::unique_ptr<Transfer> Added) {
    CURL *Easy = curl_easy_init();
    Added->Easy = Easy;
    // A transfer that is to end is ended with its next bytes.
    Added->Held = std::make_unique<HeldBytes>(Bytes, [] {});
    const HttpRequest &Request = Added->Request;
    for (const auto &[Name, Value] : Request.Headers)
      Added->HeaderList =
          curl_slist_append(Added->HeaderList, (Name + ": " + Value).c_str());
    // Waiting for "100 Continue" would add up to a second to each POST.
    Added->HeaderList = curl_slist_append(Added->HeaderList, "Expect:");
    curl_easy_setopt(Easy, CURLOPT_URL, Request.Url.c_str());
    curl_easy_setopt(Easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(Easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(Easy, CURLOPT_PROXY, "");
    curl_easy_setopt(Easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(Easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(Easy, CURLOPT_HTTPHEADER, Added->HeaderList);
    curl_easy_setopt(Easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(std::max<std::int64_t>(
                         1, toMilliseconds(Request.Timeout))));
    if (Request.FreshConnection) {
      curl_easy_setopt(Easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(Easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (Request.Method != "GET")
      curl_easy_setopt(Easy, CURLOPT_CUSTOMREQUEST, Request.Method.c_str());
    if (!Request.Body.empty() || Request.Method == "POST" ||
        Request.Method == "PUT") {
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(Request.Body.size()));
      curl_easy_setopt(Easy, CURLOPT_POSTFIELDS, Request.Body.c_str());
    }
    curl_easy_setopt(Easy, CURLOPT_PRIVATE, Added.get());
    curl_easy_setopt(Easy, CURLOPT_HEADERFUNCTION, &onHeader);
    curl_easy_setopt(Easy, CURLOPT_HEADERDATA, Added.get());
    curl_easy_setopt(Easy, CURLOPT_WRITEFUNCTION, &onData);
    curl_easy_setopt(Easy, CURLOPT_WRITEDATA, Added.get());
    curl_multi_add_handle(Multi, Easy);
    Transfers.emplace(Added->Id, std::move(Added));
  }

  void drop(CallId Id) {
    auto Found = Transfers.find(Id);
    if (Found == Transfers.end())
      return;
    release(*Found->second);
    Transfers.erase(Found);
  }

  void release(Transfer &Ended) {
    curl_multi_remove_handle(Multi, Ended.Easy);
    curl_easy_cleanup(Ended.Easy);
    curl_slist_free_all(Ended.HeaderList);
  }

  // Returned by a callback, has libcurl end the transfer with an error.
  static constexpr std::size_t EndTransfer = 0;

  // Called with each line of the heads and of the trailers, and with the empty
  // line after them.
  static std::size_t onHeader(char *Data, std::size_t Size, std::size_t Count,
                              void *User) {
    auto *Running = static_cast<Transfer *>(User);
    std::string_view Line(Data, Size * Count);
    return takeHeadLine(*Running, Line) ? Line.size() : EndTransfer;
  }

  // Returns false if the answer can't be used.
  static bool takeHeadLine(Transfer &Running, std::string_view Line) {
    bool Final = Running.Response.Status >= 200;
    if (!Running.InHead && !Final) {
      Running.Response = HttpResponse{};
      Running.InHead = true;
      return true; // libcurl has read the status
    }
    if (Line == "\r\n" || Line == "\n")
      return takeEndOfHead(Running);
    return takeField(Running.Response.Headers, Line);
  }

  // Adds the field of Line, or Line to the value before it if Line is folded
  // (RFC 9112, section 5.2). Returns false if the field is malformed.
  static bool takeField(HttpHeaders &Fields, std::string_view Line) {
    if (Line.starts_with(' ') || Line.starts_with('\t')) {
      if (Fields.empty())
        return false;
      Fields.back().second += " " + std::string(trim(Line));
      return isFieldValue(Fields.back().second);
    }
    std::size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos)
      return false;
    Fields.emplace_back(std::string(Line.substr(0, Colon)),
                        std::string(trim(Line.substr(Colon + 1))));
    return isToken(Fields.back().first) && isFieldValue(Fields.back().second);
  }

  static bool takeEndOfHead(Transfer &Running) {
    Running.InHead = false;
    long Status = 0;
    curl_easy_getinfo(Running.Easy, CURLINFO_RESPONSE_CODE, &Status);
    Running.Response.Status = static_cast<int>(Status);
    if (!isUsableStatus(Running.Response.Status))
      return false;
    Running.Owner->postHeaders(Running);
    return true;
  }

  static std::size_t onData(char *Data, std::size_t Size, std::size_t Count,
                            void *User) {
    auto *Running = static_cast<Transfer *>(User);
    std::string Chunk(Data, Size * Count);
    if (!Running->Whole) {
      Running->Owner->postData(*Running, std::move(Chunk));
      return Size * Count;
    }
    std::string &Body = Running->Response.Body;
    Running->Held->set(isFailure(*Running) ? ByteUse::Failure : ByteUse::Answer,
                       Body.size() + Chunk.size());
    if (Body.size() + Chunk.size() > MaxAnswerBytes ||
        Running->Held->isEnding())
      return EndTransfer;
    Body += Chunk;
    return Size * Count;
  }

  static bool isFailure(const Transfer &Running) {
    return Running.Response.Status < 200 || Running.Response.Status >= 300;
  }

  void postHeaders(Transfer &Running) {
    if (Running.Whole || Running.HeadersPosted || Running.Response.Status < 200)
      return;
    Running.HeadersPosted = true;
    post(Running.Id, [Response = Running.Response](HttpStreamCallbacks &To) {
      if (To.OnHeaders)
        To.OnHeaders(Response);
    });
  }

  void postData(Transfer &Running, std::string Chunk) {
    post(Running.Id,
         [Chunk = std::move(Chunk)](HttpStreamCallbacks &To) mutable {
           if (To.OnData)
             To.OnData(std::move(Chunk));
         });
  }

  // Returns the callbacks of call Id, or null if it was cancelled. With Remove
  // they are forgotten.
  static HandlerPtr findHandlers(std::mutex &Mutex, HandlerMap &Handlers,
                                 CallId Id, bool Remove) {
    std::lock_guard Lock(Mutex);
    auto Found = Handlers.find(Id);
    if (Found == Handlers.end())
      return nullptr;
    HandlerPtr Callbacks = Found->second;
    if (Remove)
      Handlers.erase(Found);
    return Callbacks;
  }

  // Runs Use with the callbacks of call Id on the io_context, unless the call
  // has been cancelled by then. Last is set for the call's last use.
  template <typename F> void post(CallId Id, F Use, bool Last = false) {
    asio::post(Context, [Id, Use = std::move(Use), Last, Handlers = Handlers,
                         Mutex = HandlerMutex]() mutable {
      if (HandlerPtr To = findHandlers(*Mutex, *Handlers, Id, Last))
        Use(*To);
    });
  }

  void finishTransfers() {
    int Remaining = 0;
    while (CURLMsg *Message = curl_multi_info_read(Multi, &Remaining)) {
      if (Message->msg != CURLMSG_DONE)
        continue;
      Transfer *Ended = nullptr;
      curl_easy_getinfo(Message->easy_handle, CURLINFO_PRIVATE, &Ended);
      finish(*Ended, Message->data.result);
    }
  }

  void finish(Transfer &Ended, CURLcode Code) {
    // libcurl reports no error if the connection ends within the head.
    if (Code == CURLE_OK && Ended.Response.Status < 200)
      Code = CURLE_PARTIAL_FILE;
    Outcome<HttpResponse> Value = Code == CURLE_OK
                                      ? Outcome<HttpResponse>(Ended.Response)
                                      : describeFailure(Ended, Code);
    CallId Id = Ended.Id;
    drop(Id);
    post(
        Id,
        [Value = std::move(Value)](HttpStreamCallbacks &To) mutable {
          if (To.OnDone)
            To.OnDone(std::move(Value));
        },
        true);
  }

  static Outcome<HttpResponse> describeFailure(Transfer &Ended, CURLcode Code) {
    long BytesSent = 0;
    curl_easy_getinfo(Ended.Easy, CURLINFO_REQUEST_SIZE, &BytesSent);
    ResultCode Result = ResultCode::BadAnswer;
    if (BytesSent == 0)
      Result = ResultCode::ConnectFailed;
    else if (Code == CURLE_OPERATION_TIMEDOUT)
      Result = ResultCode::Timeout;
    return Error{Result, Ended.Request.Method + " " + Ended.Request.Url + ": " +
                             curl_easy_strerror(Code)};
  }

  asio::io_context &Context;
  CURLM *Multi = nullptr;
  std::atomic<bool> Stopping = false;
  std::atomic<CallId> LastId = 0;
  std::shared_ptr<std::mutex> HandlerMutex = std::make_shared<std::mutex>();
  std::mutex &Mutex = *HandlerMutex;
  std::shared_ptr<HandlerMap> Handlers = std::make_shared<HandlerMap>();
  std::vector<std::unique_ptr<Transfer>> Starting;
  std::vector<CallId> Cancelled;
  // Used by the driver's thread only.
  std::shared_ptr<ByteBudget> Bytes =
      std::make_shared<ByteBudget>(MaxCollectedBytes);
  std::unordered_map<CallId, std::unique_ptr<Transfer>> Transfers;
  std::thread Worker;
};

HttpClient::HttpClient(asio::io_context &Context)
    : Impl(std::make_unique<Driver>(Context)) {}

HttpClient::~HttpClient() = default;

CallId HttpClient::send(HttpRequest Request,
                        std::function<void(Outcome<HttpResponse>)> OnDone) {
  HttpStreamCallbacks Callbacks;
  Callbacks.OnDone = std::move(OnDone);
  return Impl->add(std::move(Request), std::move(Callbacks), true);
}

CallId HttpClient::stream(HttpRequest Request, HttpStreamCallbacks Callbacks) {
  return Impl->add(std::move(Request), std::move(Callbacks), false);
}

void HttpClient::cancel(CallId Call) { Impl->cancel(Call); }

} // namespace samphirehill

#include "loadtool/LoadRun.h"

#include "loadtool/StreamCheck.h"
#include "samphirehill/Core/ResultCode.h"
#include "standin-engine/Engine.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill::loadtool {
namespace {

using Json = nlohmann::json;

// An answer may be this much later than its deadline: time on the way.
constexpr Duration DeadlineGrace = milliseconds(250);
// A call without any answer is given up this long after its deadline.
constexpr Duration AnswerGrace = seconds(2);
constexpr Duration ResendDelay = milliseconds(100);

int codeOf(const HttpResponse &Response) {
  std::string Text = findHeader(Response.Headers, "Samphirehill-Result");
  int Code = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Code);
  return Code;
}

// Refusals that the same call gets again wherever it is sent.
bool isFinal(int Code) {
  return Code >= static_cast<int>(ResultCode::BadRequest) &&
         Code <= static_cast<int>(ResultCode::DeadlineTooShort);
}

bool saysNotRun(int Code) {
  return Code != 0 &&
         runState(static_cast<ResultCode>(Code)) == RunState::NotRun;
}

std::vector<std::string> expectedTokens(const CallerPlan &Caller,
                                        const Arrival &From) {
  std::vector<std::string> Tokens;
  for (std::int64_t Index = 0; Index < From.Tokens; ++Index)
    Tokens.push_back(standin::tokenAt(Caller.Model, Caller.Version,
                                      Caller.Adapter, From.Prompt, Index));
  return Tokens;
}

} // namespace

// One call with all its sends.
class LoadRun::Call : public std::enable_shared_from_this<Call> {
public:
  Call(LoadRun &Run, const Arrival &From)
      : Run(Run), From(From), Caller(Run.Plan.Callers[From.Caller]), Check({}) {
    Result.From = &From;
    // The planned time, so that a late sender is seen as latency of the call.
    Result.SentAt = From.At;
    if (From.Booking)
      Result.BookingKey = Run.RunId + "-" + std::to_string(From.Number);
  }

  void send() {
    ++Result.Sends;
    Result.FirstToken = Duration{-1};
    Result.Gaps.clear();
    Status = 0;
    Code = 0;
    EndMark = false;
    Body.clear();
    if (From.Booking)
      sendBooking();
    else
      sendModelCall();
  }

  CallResult Result;

private:
  HttpRequest request(const std::string &Path) const {
    std::size_t Entry = (From.Entry + static_cast<std::size_t>(Result.Sends) -
                         1 + Confirmations) %
                        Run.Plan.Entries.size();
    HttpRequest Request;
    Request.Method = "POST";
    Request.Url = "http://" + Run.Plan.Entries[Entry] + Path;
    Request.Timeout = std::max(left(), Duration{0}) + AnswerGrace;
    Request.Headers = {{"Content-Type", "application/json"},
                       {"Authorization", "Bearer " + Caller.Key},
                       {"X-Priority", From.Priority},
                       {"X-Deadline-Ms", std::to_string(std::max<std::int64_t>(
                                             1, toMilliseconds(left())))}};
    return Request;
  }

  Duration left() const {
    return From.At + milliseconds(Caller.DeadlineMs) - Run.elapsed();
  }

  void sendBooking() {
    HttpRequest Request = request(Caller.BookingPath);
    Request.Headers.emplace_back("Idempotency-Key", Result.BookingKey);
    Request.Body = Json{{"booking", Result.BookingKey}}.dump();
    Request.FreshConnection = true;
    Run.Http.send(std::move(Request),
                  [Self = shared_from_this()](Outcome<HttpResponse> Answer) {
                    Self->bookingAnswered(Answer);
                  });
  }

  void bookingAnswered(const Outcome<HttpResponse> &Answer) {
    const auto *Failure = errorOf(Answer);
    if (Failure) {
      Result.Unclear |= Failure->Code != ResultCode::ConnectFailed;
      return unclear(std::string(toString(Failure->Code)));
    }
    const auto &Response = std::get<HttpResponse>(Answer);
    Status = Response.Status;
    Code = codeOf(Response);
    if (Status == 200 && Code < 1000)
      return confirmed(Response.Body);
    bool NotRun = saysNotRun(Code);
    Result.Unclear |= !NotRun;
    if (isFinal(Code))
      return end(CallEnd::Refused, "");
    unclear("status " + std::to_string(Status));
  }

  // A repeated booking must get the recorded answer, from another entry.
  void confirmed(const std::string &Answer) {
    if (Confirmations == 1 && Answer != FirstAnswer)
      return end(CallEnd::Wrong, "repeated booking got another answer");
    if (Confirmations == 1 || !From.Repeated)
      return end(CallEnd::Whole, "");
    FirstAnswer = Answer;
    ++Confirmations;
    sendBooking();
  }

  void sendModelCall() {
    Check = StreamCheck(expectedTokens(Caller, From));
    Blocks = BlockReader(Run.Plan.Direct ? "\n" : "\n\n");
    HttpRequest Request =
        request(Run.Plan.Direct ? "/generate" : "/v1/completions");
    if (Run.Plan.Direct)
      Request.Body = Json{
          {"requestId", Run.RunId + "." + std::to_string(From.Number) + "." +
                            std::to_string(Result.Sends)},
          {"organisation", Caller.Name},
          {"priority", From.Priority},
          {"deadlineMs", toMilliseconds(left())},
          {"model", Caller.Model},
          {"version", Caller.Version},
          {"adapter", Caller.Adapter},
          {"prompt", From.Prompt},
          {"maxTokens",
           From.Tokens}}.dump();
    else
      Request.Body = Json{
          {"model", Caller.Adapter.empty()
                        ? Caller.Model
                        : Caller.Model + ":" + Caller.Adapter},
          {"prompt", From.Prompt},
          {"max_tokens", From.Tokens},
          {"stream",
           true}}.dump();
    HttpStreamCallbacks Callbacks;
    Callbacks.OnHeaders = [Self =
                               shared_from_this()](const HttpResponse &Head) {
      Self->Status = Head.Status;
      Self->Code = codeOf(Head);
    };
    Callbacks.OnData = [Self = shared_from_this()](const std::string &Bytes) {
      Self->takeBytes(Bytes);
    };
    Callbacks.OnDone =
        [Self = shared_from_this()](const Outcome<HttpResponse> &Answer) {
          Self->streamEnded(Answer);
        };
    Run.Http.stream(std::move(Request), std::move(Callbacks));
  }

  void takeBytes(const std::string &Bytes) {
    if (Status != 200) {
      Body += Bytes;
      return;
    }
    for (const std::string &Block : Blocks.take(Bytes)) {
      StreamEvent Event =
          Run.Plan.Direct ? readEngineLine(Block) : readEvent(Block);
      if (Event.What == StreamEvent::Kind::Error)
        Code = Event.Code;
      if (Event.What == StreamEvent::Kind::Done)
        EndMark = true;
      if (Event.What != StreamEvent::Kind::Text || Event.Text.empty())
        continue;
      Duration Now = Run.elapsed();
      if (Result.FirstToken < Duration{0})
        Result.FirstToken = Now - Result.SentAt;
      else
        Result.Gaps.push_back(Now - LastToken);
      LastToken = Now;
      Check.take(Event.Text);
    }
  }

  void streamEnded(const Outcome<HttpResponse> &Answer) {
    if (EndMark) {
      Check.end();
      return end(Check.fault().empty() ? CallEnd::Whole : CallEnd::Wrong,
                 Check.fault());
    }
    if (!Check.fault().empty())
      return end(CallEnd::Wrong, Check.fault());
    if (isFinal(Code))
      return end(CallEnd::Refused, "");
    if (const auto *Failure = errorOf(Answer))
      return unclear(Code != 0 ? "" : std::string(toString(Failure->Code)));
    unclear(Status == 200 ? "no end mark" : "status " + std::to_string(Status));
  }

  // Sends again, or ends the call as refused or lost.
  void unclear(const std::string &Reason) {
    std::int64_t Tries =
        From.Booking ? Run.Plan.BookingTries : Run.Plan.ModelTries;
    Duration Delay = ResendDelay * Result.Sends;
    if (Result.Sends < Tries && left() > Delay) {
      Resend = Run.Timers.after(Delay,
                                [Self = shared_from_this()] { Self->send(); });
      return;
    }
    // A refusal of the last send says nothing about an unclear earlier one.
    bool Refused = saysNotRun(Code) && !Result.Unclear;
    end(Refused ? CallEnd::Refused : CallEnd::Lost, Reason);
  }

  void end(CallEnd How, const std::string &Reason) {
    Result.End = How;
    Result.Code = Code;
    Result.Reason = Reason;
    Result.Total = Run.elapsed() - Result.SentAt;
    Result.Late = left() + DeadlineGrace < Duration{0};
    Resend.cancel();
    Run.finish(shared_from_this());
  }

  LoadRun &Run;
  const Arrival &From;
  const CallerPlan &Caller;
  int Status = 0;
  int Code = 0;
  bool EndMark = false;
  std::string Body;
  BlockReader Blocks{"\n\n"};
  StreamCheck Check;
  Duration LastToken{0};
  std::size_t Confirmations = 0;
  std::string FirstAnswer;
  TimerSubscription Resend;
};

LoadRun::LoadRun(asio::io_context &Context, const LoadPlan &Plan,
                 std::vector<Arrival> Arrivals, std::string RunId,
                 std::size_t MostOpen)
    : Http(Context), Timers(Context), Plan(Plan), Arrivals(std::move(Arrivals)),
      RunId(std::move(RunId)), MostOpen(MostOpen), Collected(Plan) {}

LoadRun::~LoadRun() = default;

void LoadRun::start(std::function<void()> OnDone) {
  Done = std::move(OnDone);
  Started = Timers.now();
  sendDue();
}

void LoadRun::sendDue() {
  for (; Next < Arrivals.size() && Arrivals[Next].At <= elapsed(); ++Next) {
    if (Open.size() >= MostOpen) {
      Collected.skip();
      continue;
    }
    auto Added = std::make_shared<Call>(*this, Arrivals[Next]);
    Open.insert(Added);
    Added->send();
  }
  if (Next < Arrivals.size())
    Tick = Timers.after(std::max(Duration{0}, Arrivals[Next].At - elapsed()),
                        [this] { sendDue(); });
  else if (Open.empty())
    Done();
}

void LoadRun::finish(const std::shared_ptr<Call> &Ended) {
  Collected.add(Ended->Result);
  Open.erase(Ended);
  if (Next == Arrivals.size() && Open.empty())
    Done();
}

} // namespace samphirehill::loadtool

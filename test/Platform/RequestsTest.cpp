// Tests of the HTTP headers that callers and instances use, and of calls to
// instances.
#include "Requests.h"
#include "Serving/Loopback.h"
#include "samphirehill/Serving/StatedLimits.h"

#include <gtest/gtest.h>

namespace samphirehill::platform {
namespace {

using serving::findHeader;
using serving::HttpRequest;
using serving::HttpResponse;

// Returns a caller's request with forged headers that only the entry may set.
HttpRequest callersRequest() {
  return {"POST",
          "/p/2f?q=1",
          {{"Host", "a.example:80"},
           {"X-Samphirehill-Attempt-Id", "9c41"},
           {"X-Samphirehill-Deadline-Ms", "8000"},
           {"X-Samphirehill-Token-Counts", "1460,80"},
           {"X-Samphirehill-Model", "m"},
           {"X-Api-Key", "secret"},
           {"X-Samphirehill-Tenant", "forged"},
           {"X-Samphirehill-Expect-Instance", "forged"},
           {"Connection", "keep-alive"},
           {"X-Other", "kept"}},
          "body"};
}

TEST(RequestsTest, ReadsRequestFacts) {
  serving::RequestFacts Facts = requestWire().ReadRequest(callersRequest());
  EXPECT_EQ(Facts.Id, "9c41");
  EXPECT_EQ(Facts.Key, "secret");
  EXPECT_EQ(Facts.Model, "m");
  EXPECT_EQ(Facts.TimeLeft, seconds(8));
  EXPECT_EQ(Facts.PromptTokens, 1'460);
  EXPECT_EQ(Facts.OutputTokens, 80);
  EXPECT_FALSE(Facts.LastEventId);
}

TEST(RequestsTest, ReadsSharedPartsOfPrompt) {
  struct Case {
    const char *Value;
    std::vector<PromptPart> Expected;
  };
  const Case Cases[] = {
      {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", {0x5c1e07a2, 0x91bd3f06}},
      {"5c1e07a2:800, 91bd3f06:410, e4402b7d:250", {0x5c1e07a2, 0x91bd3f06}},
      {"ffffffffffffffff:1,2:1", {0xffffffffffffffff}},
      {"1ffffffffffffffff:1,2:1,3:1", {2}}, // more than 64 bits
      {"xyz:1,:1,,2:1,3:1", {2}},
      {"2,3", {2}},
      {"e4402b7d:250", {}}, // the request's own part
      {"", {}},
  };
  for (const Case &Each : Cases) {
    HttpRequest Request = callersRequest();
    Request.Headers.push_back({"X-Samphirehill-Prefix-Hash", Each.Value});
    EXPECT_EQ(requestWire().ReadRequest(Request).SharedParts, Each.Expected)
        << Each.Value;
  }
}

TEST(RequestsTest, BoundsSharedPartsOfPrompt) {
  std::string Value;
  for (int Part = 0; Part < 1'000; ++Part)
    Value += "1:1,";
  HttpRequest Request = callersRequest();
  Request.Headers.push_back({"X-Samphirehill-Prefix-Hash", Value});
  EXPECT_EQ(requestWire().ReadRequest(Request).SharedParts.size(),
            serving::MaxPromptParts);
}

// The key is not forwarded, and the caller's values for its organisation and
// the expected instance are replaced.
TEST(RequestsTest, ForwardsUnchangedExceptForTheEntrysHeaders) {
  serving::SendFacts Facts{milliseconds(7'500), InstanceId("i-1"),
                           OrganisationId("org"), 1, 12};
  HttpRequest Forwarded = requestWire().Forward(callersRequest(), Facts);
  EXPECT_EQ(Forwarded.Method, "POST");
  EXPECT_EQ(Forwarded.Target, "/p/2f?q=1");
  EXPECT_EQ(Forwarded.Body, "body");
  EXPECT_EQ(findHeader(Forwarded.Headers, "X-Api-Key"), nullptr);
  EXPECT_EQ(findHeader(Forwarded.Headers, "Connection"), nullptr);
  struct Case {
    const char *Name;
    const char *Value;
  };
  const Case Cases[] = {{"X-Samphirehill-Tenant", "org"},
                        {"X-Samphirehill-Expect-Instance", "i-1"},
                        {"X-Samphirehill-Deadline-Ms", "7500"},
                        {"X-Samphirehill-Request-Priority", "1"},
                        {"Last-Event-Id", "12"},
                        {"X-Samphirehill-Attempt-Id", "9c41"},
                        {"X-Samphirehill-Token-Counts", "1460,80"},
                        {"X-Other", "kept"}};
  for (const Case &Expected : Cases) {
    const std::string *Found = findHeader(Forwarded.Headers, Expected.Name);
    ASSERT_NE(Found, nullptr) << Expected.Name;
    EXPECT_EQ(*Found, Expected.Value) << Expected.Name;
  }
}

TEST(RequestsTest, ReadsNotExecutedAndSealOfAnswers) {
  auto Read = requestWire().ReadAnswer;
  EXPECT_TRUE(Read({421, {}, {}}).NotRun);
  EXPECT_TRUE(Read({503, {{"X-Samphirehill-Not-Executed", "1"}}, {}}).NotRun);
  EXPECT_FALSE(Read({503, {}, {}}).NotRun);
  EXPECT_FALSE(Read({500, {}, {}}).NotRun);
  EXPECT_TRUE(Read({200, {{"x-samphirehill-engine-seal", "s"}}, {}}).Sealed);
}

TEST(RequestsTest, ReadsInstanceNoticesFromAnswers) {
  struct Case {
    int Status;
    serving::HeaderList Headers;
    bool Leaving;
    std::optional<Duration> QuietFor;
    std::size_t Unreadable;
  };
  const Duration Longest = serving::LongestPause;
  const Case Cases[] = {
      {200, {{"Server-Leaving", "1"}}, true, {}, 0},
      {500, {{"server-leaving", "1"}}, true, {}, 0},
      {503,
       {{"Server-Leaving", "1"}, {"Retry-After", "2"}},
       true,
       seconds(2),
       0},
      {200, {{"Server-Leaving", "0"}}, false, {}, 1},
      {200, {{"Server-Leaving", "yes"}}, false, {}, 1},
      {200, {{"Server-Leaving", ""}}, false, {}, 1},
      {200, {{"Server-Leaving", "0"}, {"Server-Leaving", "1"}}, true, {}, 1},
      // A 421 may come from an instance other than the addressed one.
      {421, {{"Server-Leaving", "1"}}, false, {}, 0},
      {503, {{"Retry-After", "0.25"}}, false, milliseconds(250), 0},
      {503, {{"Retry-After", "0"}}, false, Duration::zero(), 0},
      {503, {{"Retry-After", "-1"}}, false, {}, 1},
      {503, {{"Retry-After", "soon"}}, false, {}, 1},
      {503, {{"Retry-After", "3 s"}}, false, {}, 1},
      {503, {{"Retry-After", ""}}, false, {}, 1},
      {503, {{"Retry-After", "inf"}}, false, {}, 1},
      {503, {{"Retry-After", "nan"}}, false, {}, 1},
      {503, {{"Retry-After", "1e999"}}, false, {}, 1},
      {503, {{"Retry-After", "1e30"}}, false, Longest, 0},
      {503, {{"Retry-After", "Fri, 04 Dec 2026 10:00:00 GMT"}}, false, {}, 1},
      {503, {{"Retry-After", "3"}, {"Retry-After", "1"}}, false, seconds(3), 0},
      {503, {{"Retry-After", "x"}, {"Retry-After", "1"}}, false, seconds(1), 1},
      {429, {{"Retry-After", "3"}}, false, {}, 0},
      {200, {{"Retry-After", "3"}}, false, {}, 0},
  };
  for (const Case &Tested : Cases) {
    SCOPED_TRACE(std::to_string(Tested.Status) + " " + Tested.Headers[0].Name +
                 ": " + Tested.Headers[0].Value);
    serving::AnswerFacts Facts =
        requestWire().ReadAnswer({Tested.Status, Tested.Headers, {}});
    EXPECT_EQ(Facts.Leaving, Tested.Leaving);
    EXPECT_EQ(Facts.QuietFor, Tested.QuietFor);
    EXPECT_EQ(Facts.Unreadable.size(), Tested.Unreadable);
  }
}

TEST(RequestsTest, ReadsStatedLimitsFromAnswers) {
  struct Case {
    int Status;
    serving::HeaderList Headers;
    std::optional<double> Limit;
    std::size_t Unreadable;
  };
  const Case Cases[] = {
      {200, {{"Server-Limit", "3.7"}}, 3.7, 0},
      {503, {{"server-limit", "12"}}, 12.0, 0},
      {500, {{"Server-Limit", "0"}}, 0.0, 0},
      {200, {{"Server-Limit", "1e30"}}, serving::HighestStatedLimit, 0},
      {200, {{"Server-Limit", "5"}, {"Server-Limit", "2.5"}}, 2.5, 0},
      {200, {{"Server-Limit", "x"}, {"Server-Limit", "2"}}, 2.0, 1},
      {200, {{"Server-Limit", ""}}, {}, 1},
      {200, {{"Server-Limit", "-1"}}, {}, 1},
      {200, {{"Server-Limit", "nan"}}, {}, 1},
      {200, {{"Server-Limit", "inf"}}, {}, 1},
      {200, {{"Server-Limit", "3/s"}}, {}, 1},
      // A 421 may come from an instance other than the addressed one.
      {421, {{"Server-Limit", "3"}}, {}, 0},
  };
  for (const Case &Tested : Cases) {
    SCOPED_TRACE(std::to_string(Tested.Status) + " " + Tested.Headers[0].Value);
    serving::AnswerFacts Facts =
        requestWire().ReadAnswer({Tested.Status, Tested.Headers, {}});
    EXPECT_EQ(Facts.Limit, Tested.Limit);
    EXPECT_EQ(Facts.Unreadable.size(), Tested.Unreadable);
  }
}

TEST(RequestsTest, PassesOnInstanceNoticesInReportAnswers) {
  asio::io_context Context;
  TimerService Timers(Context);
  serving::ExchangePool Pool(Context, Timers);
  serving::ScriptedServer Server(
      Context, [](serving::ScriptedConnection &Connection, int) {
        Connection.send("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
                        "Content-Length: 2\r\n\r\n{}");
      });
  serving::InstanceCalls Calls = instanceCalls(Pool);
  std::optional<serving::InstanceLife> LeavingLife;
  *Calls.OnAnswer = [&](const serving::InstanceLife &From,
                        const serving::AnswerFacts &Answer) {
    if (Answer.Leaving)
      LeavingLife = From;
  };
  serving::Instance Instance;
  Instance.Id = InstanceId("i-1");
  Instance.BornMilliseconds = 7;
  Instance.Address = {"127.0.0.1", Server.port()};
  bool Done = false;
  Calls.Report(Instance,
               [&](const Outcome<serving::Instance> &) { Done = true; });
  serving::runUntil(Context, [&] { return Done; });
  ASSERT_TRUE(LeavingLife);
  EXPECT_EQ(*LeavingLife, (serving::InstanceLife{Instance.Id, 7}));
}

// Another incarnation answers at the address; its notice is not the earlier
// one's.
TEST(RequestsTest, AttributesNoNoticeOfAnotherIncarnation) {
  asio::io_context Context;
  TimerService Timers(Context);
  serving::ExchangePool Pool(Context, Timers);
  serving::ScriptedServer Server(
      Context, [](serving::ScriptedConnection &Connection, int) {
        Connection.send("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
                        "Content-Length: 10\r\n\r\n{\"born\":8}");
      });
  serving::InstanceCalls Calls = instanceCalls(Pool);
  std::vector<serving::InstanceLife> Leaving;
  *Calls.OnAnswer = [&](const serving::InstanceLife &From,
                        const serving::AnswerFacts &Answer) {
    if (Answer.Leaving)
      Leaving.push_back(From);
  };
  serving::Instance Earlier;
  Earlier.Id = InstanceId("i-1");
  Earlier.BornMilliseconds = 7;
  Earlier.Address = {"127.0.0.1", Server.port()};
  std::optional<Outcome<serving::Instance>> Report;
  Calls.Report(Earlier, [&](const Outcome<serving::Instance> &Answer) {
    Report = Answer;
  });
  ASSERT_TRUE(serving::runUntil(Context, [&] { return Report.has_value(); }));
  ASSERT_TRUE(errorOf(*Report));
  EXPECT_EQ(errorOf(*Report)->Code, ResultCode::NotFound);
  EXPECT_TRUE(Leaving.empty());
}

TEST(RequestsTest, AnswersWithAttemptIdAndRetryAfter) {
  HttpResponse Answer =
      requestWire().BuildAnswer(503, "9c41", milliseconds(250));
  EXPECT_EQ(Answer.Status, 503);
  EXPECT_EQ(*findHeader(Answer.Headers, "Retry-After"), "0.25");
  EXPECT_EQ(*findHeader(Answer.Headers, "X-Samphirehill-Attempt-Id"), "9c41");
}

class InstanceCallsTest : public testing::Test {
protected:
  InstanceCallsTest() : Timers(Context), Pool(Context, Timers) {}

  // Sends an order; returns whether it was accepted, or nothing on a failure.
  std::optional<bool> sendOrder(const serving::ScriptedServer &Engine,
                                std::function<bool()> Allowed) {
    serving::Instance To;
    To.Id = InstanceId("i-1");
    To.Address = {"127.0.0.1", Engine.port()};
    std::optional<Outcome<bool>> Result;
    instanceCalls(Pool).Order(
        To, {serving::OrderKind::Leave, To.Id, "m.1", 1, "m", {}, 7},
        std::move(Allowed),
        [&](const Outcome<bool> &Answer) { Result = Answer; });
    EXPECT_TRUE(serving::runUntil(Context, [&] { return Result.has_value(); }));
    if (!Result || errorOf(*Result))
      return std::nullopt;
    return std::get<0>(*Result);
  }

  asio::io_context Context;
  TimerService Timers;
  serving::ExchangePool Pool;
};

// A duplicate of the first order's answer arrives where the answer to the next
// order is expected. The next order, which is refused, must not count as
// accepted.
TEST_F(InstanceCallsTest, IgnoresLateDuplicateOfThePreviousAnswer) {
  const serving::ScriptedConnection *FirstConnection = nullptr;
  auto Script = [&](serving::ScriptedConnection &To, int Number) {
    if (Number == 1)
      FirstConnection = &To;
    if (Number == 2 && &To == FirstConnection)
      To.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    To.send(Number == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                        : "HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n");
  };
  serving::ScriptedServer Engine(Context, Script);
  EXPECT_EQ(sendOrder(Engine, {}), true);
  EXPECT_EQ(sendOrder(Engine, {}), false);
}

// The process was suspended between deciding on the order and sending it: the
// lease has expired when the connection is established.
TEST_F(InstanceCallsTest, SendsNoOrderAfterTheLeaseExpired) {
  serving::ScriptedServer Engine(Context,
                                 [](serving::ScriptedConnection &, int) {});
  EXPECT_EQ(sendOrder(Engine, [] { return false; }), std::nullopt);
  EXPECT_EQ(Engine.requests(), 0);
}

} // namespace
} // namespace samphirehill::platform

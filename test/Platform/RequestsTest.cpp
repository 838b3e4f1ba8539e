#include "Requests.h"
#include "Serving/Loopback.h"

#include <gtest/gtest.h>

namespace samphirehill::platform {
namespace {

using serving::findHeader;
using serving::HttpRequest;
using serving::HttpResponse;

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

TEST(RequestsTest, ReadsFacts) {
  serving::RequestFacts Facts = requestWire().ReadRequest(callersRequest());
  EXPECT_EQ(Facts.Id, "9c41");
  EXPECT_EQ(Facts.Key, "secret");
  EXPECT_EQ(Facts.Model, "m");
  EXPECT_EQ(Facts.TimeLeft, seconds(8));
  EXPECT_EQ(Facts.PromptTokens, 1'460);
  EXPECT_EQ(Facts.OutputTokens, 80);
  EXPECT_FALSE(Facts.LastEventId);
}

// The key is not passed on, and what the caller says of its organisation or of
// the instance doesn't count.
TEST(RequestsTest, ForwardsUnchangedButForItsOwnHeaders) {
  serving::SendFacts Sent{milliseconds(7'500), InstanceId("i-1"),
                          OrganisationId("org"), 1, 12};
  HttpRequest Made = requestWire().Forward(callersRequest(), Sent);
  EXPECT_EQ(Made.Method, "POST");
  EXPECT_EQ(Made.Target, "/p/2f?q=1");
  EXPECT_EQ(Made.Body, "body");
  EXPECT_EQ(findHeader(Made.Headers, "X-Api-Key"), nullptr);
  EXPECT_EQ(findHeader(Made.Headers, "Connection"), nullptr);
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
  for (const Case &Each : Cases) {
    const std::string *Found = findHeader(Made.Headers, Each.Name);
    ASSERT_NE(Found, nullptr) << Each.Name;
    EXPECT_EQ(*Found, Each.Value) << Each.Name;
  }
}

TEST(RequestsTest, ReadsPromisesOfAnswers) {
  auto Read = requestWire().ReadAnswer;
  EXPECT_TRUE(Read({421, {}, {}}).NotRun);
  EXPECT_TRUE(Read({503, {{"X-Samphirehill-Not-Executed", "1"}}, {}}).NotRun);
  EXPECT_FALSE(Read({503, {}, {}}).NotRun);
  EXPECT_FALSE(Read({500, {}, {}}).NotRun);
  EXPECT_TRUE(Read({200, {{"x-samphirehill-engine-seal", "s"}}, {}}).Sealed);
}

TEST(RequestsTest, AnswersWithIdAndTimeToComeBack) {
  HttpResponse Answer = requestWire().OwnAnswer(503, "9c41", milliseconds(250));
  EXPECT_EQ(Answer.Status, 503);
  EXPECT_EQ(*findHeader(Answer.Headers, "Retry-After"), "0.25");
  EXPECT_EQ(*findHeader(Answer.Headers, "X-Samphirehill-Attempt-Id"), "9c41");
}

class InstanceCallsTest : public testing::Test {
protected:
  InstanceCallsTest() : Timers(Context), Pool(Context, Timers) {}

  // Gives an order; returns whether it was accepted, or nothing on a failure.
  std::optional<bool> order(const serving::ScriptedServer &Engine,
                            std::function<bool()> Allowed) {
    serving::Instance To;
    To.Id = InstanceId("i-1");
    To.Address = {"127.0.0.1", Engine.port()};
    std::optional<Outcome<bool>> Got;
    instanceCalls(Pool).Order(
        To, {serving::OrderKind::Leave, To.Id, "m.1", 1, "m", {}, 7},
        std::move(Allowed), [&](const Outcome<bool> &Answer) { Got = Answer; });
    EXPECT_TRUE(serving::runUntil(Context, [&] { return Got.has_value(); }));
    if (!Got || errorOf(*Got))
      return std::nullopt;
    return std::get<0>(*Got);
  }

  asio::io_context Context;
  TimerService Timers;
  serving::ExchangePool Pool;
};

// A late second copy of an answer, where that of the next order is expected: an
// order that was refused must not count as accepted.
TEST_F(InstanceCallsTest, DoesNotTakeALateCopyForTheAnswerToTheNextOrder) {
  const serving::ScriptedConnection *First = nullptr;
  auto Script = [&](serving::ScriptedConnection &To, int Number) {
    if (Number == 1)
      First = &To;
    if (Number == 2 && &To == First)
      To.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    To.send(Number == 1 ? "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                        : "HTTP/1.1 409 No\r\nContent-Length: 0\r\n\r\n");
  };
  serving::ScriptedServer Engine(Context, Script);
  EXPECT_EQ(order(Engine, {}), true);
  EXPECT_EQ(order(Engine, {}), false);
}

// The process was paused after it had decided on the order; its lease has run
// out when the connection stands.
TEST_F(InstanceCallsTest, SendsNoOrderWhoseLeaseHasRunOut) {
  serving::ScriptedServer Engine(Context,
                                 [](serving::ScriptedConnection &, int) {});
  EXPECT_EQ(order(Engine, [] { return false; }), std::nullopt);
  EXPECT_EQ(Engine.requests(), 0);
}

} // namespace
} // namespace samphirehill::platform

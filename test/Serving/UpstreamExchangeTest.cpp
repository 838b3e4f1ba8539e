// Tests which connections a pool uses for a request, with scripted peers on
// loopback.
#include "samphirehill/Serving/UpstreamExchange.h"

#include "Serving/Loopback.h"
#include "Serving/TestWire.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace samphirehill::serving {
namespace {

class UpstreamExchangeTest : public testing::Test {
protected:
  UpstreamExchangeTest()
      : Timers(Context), Pool(Context, Timers),
        Peer(Context, [](ScriptedConnection &To, int) {
          To.send(answer("200 OK", "x"));
        }) {}

  // Sends a request with Id and awaits the end of its answer.
  void exchange(const std::optional<std::string> &Id) {
    ExchangeOptions Options;
    Options.RequestId = Id;
    bool Done = false;
    Pool.call(
        {"127.0.0.1", Peer.port()},
        HttpRequest{"GET", "/", {{"Host", "h"}}, {}}, seconds(3),
        [&](const Outcome<HttpResponse> &Answer) {
          EXPECT_FALSE(errorOf(Answer));
          Done = true;
        },
        Options);
    EXPECT_TRUE(runUntil(Context, [&] { return Done; }));
  }

  std::size_t connections() const { return Peer.connections().size(); }

  asio::io_context Context;
  TimerService Timers;
  ExchangePool Pool;
  ScriptedServer Peer;
};

TEST_F(UpstreamExchangeTest, UsesNoConnectionTwiceForOneRequestId) {
  exchange("r1");
  exchange("r2");
  EXPECT_EQ(connections(), 1u);
  exchange("r1");
  EXPECT_EQ(connections(), 2u);
  exchange("r1");
  EXPECT_EQ(connections(), 3u);
}

// Another pooled connection may carry the id, though it is not the newest.
TEST_F(UpstreamExchangeTest, UsesOlderConnectionThatHasNotCarriedTheId) {
  exchange("r1");
  exchange("r1");
  exchange("r2"); // on the newer connection
  exchange("r2"); // on the older one
  EXPECT_EQ(connections(), 2u);
}

TEST_F(UpstreamExchangeTest, UsesNewConnectionForRequestWithoutId) {
  exchange("r1");
  exchange("");
  exchange("");
  EXPECT_EQ(connections(), 3u);
}

TEST_F(UpstreamExchangeTest, ReusesConnectionWhereAnswersAreNotAttributedById) {
  exchange(std::nullopt);
  exchange(std::nullopt);
  EXPECT_EQ(connections(), 1u);
}

TEST_F(UpstreamExchangeTest, ReplacesConnectionAfterManyRequestIds) {
  for (int Number = 0; Number < 256; ++Number)
    exchange("r" + std::to_string(Number));
  EXPECT_EQ(connections(), 1u);
  exchange("next");
  EXPECT_EQ(connections(), 2u);
}

// The connection of a request that has ended carries the next one.
TEST_F(UpstreamExchangeTest, LeavesNextRequestWhenAnEndedOneIsCancelled) {
  int Answered = 0;
  auto Send = [&](const std::string &Id) {
    ExchangeOptions Options;
    Options.RequestId = Id;
    return Pool.call(
        {"127.0.0.1", Peer.port()},
        HttpRequest{"GET", "/", {{"Host", "h"}}, {}}, seconds(3),
        [&](const Outcome<HttpResponse> &Answer) {
          Answered += errorOf(Answer) ? 0 : 1;
        },
        Options);
  };
  std::shared_ptr<Exchange> Ended = Send("r1");
  ASSERT_TRUE(runUntil(Context, [&] { return Answered == 1; }));
  Send("r2");
  Ended->cancel();
  EXPECT_TRUE(runUntil(Context, [&] { return Answered == 2; }));
}

// The answer to a HEAD request names the length of a body that it doesn't have.
// Its copy must not take up the bytes of the next answer.
TEST(UpstreamExchangeHeadTest, ReadsAnswerAfterCopyOfAnswerWithoutBody) {
  asio::io_context Context;
  TimerService Timers(Context);
  ExchangePool Pool(Context, Timers);
  const std::string Refusal =
      "HTTP/1.1 503 Full\r\nid: r1\r\nContent-Length: 5000\r\n\r\n";
  ScriptedServer *Server = nullptr;
  ScriptedServer Peer(Context, [&](ScriptedConnection &To, int Number) {
    Server->connections().at(0)->send(Refusal);
    if (Number == 2)
      To.send(answer("200 OK\r\nid: r2", "x"));
  });
  Server = &Peer;
  for (const std::string Id : {"r1", "r2"}) {
    ExchangeOptions Options;
    Options.RequestId = Id;
    Options.AnswerHasNoBody = Id == "r1";
    int Status = 0;
    bool Done = false;
    ExchangeHandlers Handlers;
    Handlers.OnHead = [&](const HttpResponse &Head) {
      if (*findHeader(Head.Headers, "id") != Id)
        return false;
      Status = Head.Status;
      return true;
    };
    Handlers.OnEnd = [&] { Done = true; };
    Handlers.OnFailure = [&](ExchangeFailure, const std::string &) {
      Done = true;
    };
    HttpRequest Request{Id == "r1" ? "HEAD" : "GET", "/", {{"Host", "h"}}, {}};
    std::shared_ptr<Exchange> Running = Pool.start(
        {"127.0.0.1", Peer.port()}, serialize(Request), Options, Handlers);
    EXPECT_TRUE(runUntil(Context, [&] { return Done; }));
    EXPECT_EQ(Status, Id == "r1" ? 503 : 200);
    if (!Done)
      Running->cancel();
  }
  EXPECT_EQ(Peer.connections().size(), 2u);
}

// A copy of a refusal without a length takes up the rest of its connection. The
// request must not wait for an answer that can't be read.
TEST(UpstreamExchangeStrayTest, FailsAtOnceWhenStrayAnswerHasNoEnd) {
  asio::io_context Context;
  TimerService Timers(Context);
  ExchangePool Pool(Context, Timers);
  ScriptedServer Peer(Context, [](ScriptedConnection &To, int Number) {
    if (Number == 1)
      return To.send(answer("200 OK\r\nid: r1", "x"));
    To.send("HTTP/1.1 503 Full\r\nid: r1\r\n\r\n" +
            answer("200 OK\r\nid: r2", "x"));
  });
  std::optional<ExchangeFailure> Failure;
  for (const std::string Id : {"r1", "r2"}) {
    ExchangeOptions Options;
    Options.RequestId = Id;
    bool Done = false;
    ExchangeHandlers Handlers;
    Handlers.OnHead = [&](const HttpResponse &Head) {
      return *findHeader(Head.Headers, "id") == Id;
    };
    Handlers.OnEnd = [&] { Done = true; };
    Handlers.OnFailure = [&](ExchangeFailure Kind, const std::string &) {
      Failure = Kind;
      Done = true;
    };
    HttpRequest Request{"GET", "/", {{"Host", "h"}}, {}};
    std::shared_ptr<Exchange> Running = Pool.start(
        {"127.0.0.1", Peer.port()}, serialize(Request), Options, Handlers);
    EXPECT_TRUE(runUntil(Context, [&] { return Done; }));
    if (!Done)
      Running->cancel();
  }
  EXPECT_EQ(Peer.connections().size(), 1u);
  EXPECT_EQ(Failure, ExchangeFailure::Unusable);
}

} // namespace
} // namespace samphirehill::serving

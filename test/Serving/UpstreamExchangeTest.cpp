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

} // namespace
} // namespace samphirehill::serving

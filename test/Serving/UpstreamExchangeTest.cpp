// Tests which connections a pool uses for a request, with scripted peers on
// loopback.
#include "samphirehill/Serving/UpstreamExchange.h"

#include "Serving/Loopback.h"
#include "Serving/TestWire.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

#include <thread>

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

// What a peer does after it has sent an answer to an upload that it hasn't
// read.
enum class PeerEnd {
  Reset,
  ResetLate,
  Close,          // with the upload unread, so that its kernel sends a reset
  FinishAndReset, // ends its half of the connection first
  // The same, while this process is suspended for longer than the exchange
  // waits for a reset.
  FinishAndResetSuspended,
  Stall,  // reads nothing, so that the connection times out
  Finish, // ends its half of the connection and reads nothing
  FinishAndRead,
};

struct UploadCase {
  const char *Name;
  std::string Answer;
  PeerEnd End;
};

std::ostream &operator<<(std::ostream &To, const UploadCase &Case) {
  return To << Case.Name;
}

// Sends an upload to a peer that answers while it is being written.
class UpstreamExchangeUploadTest : public testing::TestWithParam<UploadCase> {
protected:
  UpstreamExchangeUploadTest()
      : Timers(Context), Pool(Context, Timers),
        Peer(
            Context,
            [this](ScriptedConnection &To, int) {
              To.send(GetParam().Answer);
              EndTimer = Timers.after(GetParam().End == PeerEnd::ResetLate
                                          ? milliseconds(300)
                                          : milliseconds(20),
                                      [this, &To] { end(To, GetParam().End); });
            },
            RequestReading::None) {}

  void end(ScriptedConnection &To, PeerEnd How) {
    switch (How) {
    case PeerEnd::Reset:
    case PeerEnd::ResetLate:
      return To.reset();
    case PeerEnd::Close:
      return To.close();
    case PeerEnd::FinishAndReset:
      To.finish();
      EndTimer = Timers.after(milliseconds(20), [&To] { To.reset(); });
      return;
    case PeerEnd::FinishAndResetSuspended:
      To.finish();
      EndTimer = Timers.after(milliseconds(20), [this, &To] {
        To.reset();
        TimePoint Until = Timers.now() + milliseconds(700);
        while (Timers.now() < Until)
          std::this_thread::yield();
      });
      return;
    case PeerEnd::Stall:
      return;
    case PeerEnd::Finish:
      return To.finish();
    case PeerEnd::FinishAndRead:
      To.finish();
      return To.discard();
    }
  }

  // Returns the answer to an upload, or its failure.
  Outcome<HttpResponse> upload() {
    std::optional<Outcome<HttpResponse>> Ended;
    HttpRequest Request{"POST", "/", {{"Host", "h"}}, {}};
    Request.Body = std::string(4'000'000, 'x');
    // A stalled connection times out after 2.5 s, at its next window probe.
    Pool.call({"127.0.0.1", Peer.port()}, Request, seconds(9),
              [&](Outcome<HttpResponse> Result) { Ended = std::move(Result); });
    runUntil(
        Context, [&] { return Ended.has_value(); }, seconds(10));
    return Ended.value_or(Error{ResultCode::Internal, "not ended"});
  }

  asio::io_context Context;
  TimerService Timers;
  ExchangePool Pool;
  ScriptedServer Peer;
  TimerSubscription EndTimer;
};

class UpstreamExchangeCutUploadTest : public UpstreamExchangeUploadTest {};

// Guards against a part of an answer that passes for the whole one (MIXED): the
// write operation gets the socket's error, and the read operation an end of
// file.
TEST_P(UpstreamExchangeCutUploadTest, FailsWhenAnswerWithoutLengthIsCut) {
  Outcome<HttpResponse> Ended = upload();
  ASSERT_TRUE(errorOf(Ended)) << std::get<0>(Ended).Body;
  EXPECT_EQ(errorOf(Ended)->Code, ResultCode::UpstreamLost)
      << errorOf(Ended)->Message;
}

const std::string HeadWithoutLength = "HTTP/1.1 200 OK\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Ends, UpstreamExchangeCutUploadTest,
    testing::Values(
        UploadCase{"Reset", HeadWithoutLength + "part", PeerEnd::Reset},
        UploadCase{"ResetLate", HeadWithoutLength + "part", PeerEnd::ResetLate},
        UploadCase{"Close", HeadWithoutLength + "part", PeerEnd::Close},
        UploadCase{"ConnectionClose",
                   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
                   PeerEnd::Reset},
        UploadCase{"Http10", "HTTP/1.0 200 OK\r\n\r\npart", PeerEnd::Reset},
        UploadCase{"HeadOnly", HeadWithoutLength, PeerEnd::Reset},
        UploadCase{"FinishAndReset", HeadWithoutLength + "part",
                   PeerEnd::FinishAndReset},
        UploadCase{"FinishAndResetSuspended", HeadWithoutLength + "part",
                   PeerEnd::FinishAndResetSuspended},
        UploadCase{"Stall", HeadWithoutLength + "part", PeerEnd::Stall},
        UploadCase{"WithinLength",
                   "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
                   PeerEnd::Reset},
        UploadCase{"WithinChunks",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       serializeChunk("part"),
                   PeerEnd::Reset}),
    [](const auto &Info) { return Info.param.Name; });

class UpstreamExchangeWholeAnswerTest : public UpstreamExchangeUploadTest {};

// A peer may answer without having read the request.
TEST_P(UpstreamExchangeWholeAnswerTest, DeliversWholeAnswerToUnreadUpload) {
  Outcome<HttpResponse> Ended = upload();
  ASSERT_FALSE(errorOf(Ended)) << errorOf(Ended)->Message;
  EXPECT_EQ(std::get<0>(Ended).Body, "whole");
}

INSTANTIATE_TEST_SUITE_P(
    Ends, UpstreamExchangeWholeAnswerTest,
    testing::Values(
        UploadCase{"LengthThenReset", answer("200 OK", "whole"),
                   PeerEnd::Reset},
        UploadCase{"LengthThenStall", answer("200 OK", "whole"),
                   PeerEnd::Stall},
        UploadCase{"ChunksThenReset",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                       serializeChunk("whole") + std::string(LastChunk),
                   PeerEnd::Reset},
        UploadCase{"Finish", HeadWithoutLength + "whole", PeerEnd::Finish},
        UploadCase{"FinishAndRead", HeadWithoutLength + "whole",
                   PeerEnd::FinishAndRead}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a request that is sent on, and lost with, a connection that
// was reset behind the answer to an upload.
TEST(UpstreamExchangeFailedWriteTest, SendsNextRequestOnAnotherConnection) {
  asio::io_context Context;
  TimerService Timers(Context);
  ExchangePool Pool(Context, Timers);
  TimerSubscription ResetTimer;
  ScriptedServer Peer(
      Context,
      [&](ScriptedConnection &To, int Number) {
        if (Number == 2)
          return To.send(answer("200 OK", "x"));
        ResetTimer = Timers.after(milliseconds(20), [&To] {
          To.send(answer("200 OK", "x"));
          To.reset();
        });
      },
      RequestReading::None);
  SocketAddress Address{"127.0.0.1", Peer.port()};
  HttpRequest Upload{"POST", "/", {{"Host", "h"}}, {}};
  Upload.Body = std::string(4'000'000, 'x');
  HttpRequest Next{"POST", "/", {{"Host", "h"}}, "next"};
  std::optional<Outcome<HttpResponse>> Ended;
  Pool.call(
      Address, Upload, seconds(3), [&](const Outcome<HttpResponse> &First) {
        EXPECT_FALSE(errorOf(First)) << errorOf(First)->Message;
        Pool.call(Address, Next, seconds(3), [&](Outcome<HttpResponse> Result) {
          Ended = std::move(Result);
        });
      });
  ASSERT_TRUE(runUntil(Context, [&] { return Ended.has_value(); }));
  EXPECT_FALSE(errorOf(*Ended)) << errorOf(*Ended)->Message;
  EXPECT_EQ(Peer.connections().size(), 2u);
}

// The upload has been written and read when the answer ends.
TEST(UpstreamExchangeReadUploadTest, DeliversAnswerThatEndOfFileEnds) {
  asio::io_context Context;
  TimerService Timers(Context);
  ExchangePool Pool(Context, Timers);
  ScriptedServer Peer(Context, [](ScriptedConnection &To, int) {
    To.send(HeadWithoutLength + "whole");
    To.close();
  });
  std::optional<Outcome<HttpResponse>> Ended;
  Pool.call({"127.0.0.1", Peer.port()},
            HttpRequest{"POST", "/", {{"Host", "h"}}, "upload"}, seconds(3),
            [&](Outcome<HttpResponse> Result) { Ended = std::move(Result); });
  ASSERT_TRUE(runUntil(Context, [&] { return Ended.has_value(); }));
  ASSERT_FALSE(errorOf(*Ended)) << errorOf(*Ended)->Message;
  EXPECT_EQ(std::get<0>(*Ended).Body, "whole");
}

} // namespace
} // namespace samphirehill::serving

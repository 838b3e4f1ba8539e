// Tests when the server for callers closes a connection. Callers are sockets on
// loopback that read late.
#include "samphirehill/Serving/CallerServer.h"

#include "Serving/Loopback.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

// More than the kernel buffers for a caller that doesn't read, less than the
// server keeps for it.
constexpr std::size_t AnswerBytes = 4'000'000;
constexpr int CallerBufferBytes = 4'096;

class CallerServerTest : public testing::Test {
protected:
  CallerServerTest()
      : Timers(Context), Address{"127.0.0.1", freePort()},
        Server(Context, Timers, Bytes,
               [this](std::shared_ptr<CallerRequest> Request) {
                 Answer(*Request);
                 Answered = true;
               }),
        Caller(Context) {
    auto Listening = capture([&]() -> Result<bool> {
      BOOST_LEAF_CHECK(Server.listen(Address));
      return true;
    });
    EXPECT_FALSE(errorOf(Listening));
    Caller.open(asio::ip::tcp::v4());
    Caller.set_option(
        asio::socket_base::receive_buffer_size(CallerBufferBytes));
    Caller.connect({asio::ip::make_address("127.0.0.1"), Address.Port});
  }

  // Sends a request and runs the server until it has passed on its answer,
  // which the caller doesn't read yet.
  void request() {
    asio::write(Caller, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                                 "Host: h\r\n\r\n")));
    EXPECT_TRUE(runUntil(Context, [this] { return Answered; }));
    EXPECT_EQ(Server.connectionCount(), 1U);
  }

  // Reads until the server closes the connection or has sent Last.
  std::string readAnswer(std::string_view Last) {
    std::string Received;
    std::array<char, 65'536> Buffer{};
    bool Closed = false;
    std::function<void()> Read = [&] {
      Caller.async_read_some(asio::buffer(Buffer),
                             [&](std::error_code Failed, std::size_t Size) {
                               Received.append(Buffer.data(), Size);
                               Closed = static_cast<bool>(Failed);
                               if (!Closed)
                                 Read();
                             });
    };
    Read();
    runUntil(Context, [&] { return Closed || Received.ends_with(Last); });
    return Received;
  }

  asio::io_context Context;
  TimerService Timers;
  SocketAddress Address;
  std::function<void(CallerRequest &)> Answer = [](CallerRequest &Request) {
    Request.reply(HttpResponse{200, {}, std::string(AnswerBytes, 'x') + "end"});
  };
  bool Answered = false;
  std::shared_ptr<ByteBudget> Bytes =
      std::make_shared<ByteBudget>(2 * AnswerBytes);
  CallerServer Server;
  asio::ip::tcp::socket Caller;
};

// Guards against an answer that is cut in a planned stop because the request
// has ended while its output still waits for the caller to read (LOST).
TEST_F(CallerServerTest, KeepsConnectionAtCloseIdleWhenAnswerIsUnwritten) {
  request();
  Server.closeIdle();
  EXPECT_EQ(Server.connectionCount(), 1U);
  EXPECT_TRUE(readAnswer("end").ends_with("xend"));
  runUntil(Context, [this] {
    Server.closeIdle();
    return Server.connectionCount() == 0;
  });
  EXPECT_EQ(Server.connectionCount(), 0U);
}

TEST_F(CallerServerTest, SendsLastChunkWhenIdleConnectionsAreClosed) {
  Answer = [](CallerRequest &Request) {
    Request.beginStream(HttpResponse{200, {}, {}});
    Request.streamPart(std::string(AnswerBytes, 'x'));
    Request.endStream();
  };
  request();
  Server.setClosing(true);
  Server.closeIdle();
  EXPECT_TRUE(readAnswer("0\r\n\r\n").ends_with("x\r\n0\r\n\r\n"));
}

// An entry that can't serve its callers for a while says so on the connections
// that they keep.
TEST_F(CallerServerTest, KeepsConnectionsAgainWhenItNoLongerCloses) {
  Answer = [](CallerRequest &Request) {
    Request.reply(HttpResponse{200, {}, "end"});
  };
  Server.setClosing(true);
  Server.setClosing(false);
  request();
  EXPECT_EQ(readAnswer("end").find("Connection: close"), std::string::npos);
  Server.setClosing(true);
  request();
  EXPECT_NE(readAnswer("end").find("Connection: close"), std::string::npos);
}

TEST_F(CallerServerTest, WritesWholeAnswerWhenCallerHasEndedItsSide) {
  request();
  Caller.shutdown(asio::ip::tcp::socket::shutdown_send);
  EXPECT_TRUE(readAnswer("end").ends_with("xend"));
  EXPECT_TRUE(
      runUntil(Context, [this] { return Server.connectionCount() == 0; }));
}

// The body of a request that is still being received is given up for the memory
// of the process; nothing of it has been passed on.
TEST_F(CallerServerTest, RefusesBodyWhenProcessHoldsTooManyBytes) {
  Bytes->setLimit(100'000);
  asio::write(Caller, asio::buffer("POST / HTTP/1.1\r\nHost: h\r\n"
                                   "Content-Length: 400000\r\n\r\n" +
                                   std::string(200'000, 'x')));
  EXPECT_TRUE(readAnswer("\r\n\r\n").starts_with("HTTP/1.1 503"));
  EXPECT_FALSE(Answered);
  EXPECT_EQ(Bytes->heldBytes(), 0U);
}

// A caller that doesn't read is given up before answers that others wait for.
TEST_F(CallerServerTest, ClosesConnectionWhoseOutputIsTooMuchForTheProcess) {
  request();
  EXPECT_GT(Bytes->heldBytes(), 0U);
  HeldBytes Other(Bytes, [] {});
  Other.set(ByteUse::Answer, 2 * AnswerBytes);
  EXPECT_TRUE(
      runUntil(Context, [this] { return Server.connectionCount() == 0; }));
  EXPECT_FALSE(Other.isEnding());
  EXPECT_EQ(Bytes->heldBytes(), 2 * AnswerBytes);
}

// The limits on the size of requests, which change while connections are open.
class CallerServerLimitTest : public CallerServerTest {
protected:
  CallerServerLimitTest() {
    Answer = [](CallerRequest &Request) {
      Request.reply(HttpResponse{200, {}, "end"});
    };
  }

  void setLimits(std::size_t HeadBytes, std::size_t BodyBytes = 4'096) {
    CallerLimits Limits;
    Limits.HeadBytes = HeadBytes;
    Limits.BodyBytes = BodyBytes;
    Server.setLimits(Limits);
  }

  // Returns a head of about HeadBytes, in headers of 1,000 bytes.
  static std::string headOf(std::size_t HeadBytes, std::size_t BodyBytes = 0) {
    std::string Head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                       std::to_string(BodyBytes) + "\r\n";
    while (Head.size() + 1'000 < HeadBytes)
      Head += "X-Note: " + std::string(990, 'n') + "\r\n";
    return Head + "\r\n";
  }

  void send(const std::string &Bytes) {
    bool Sent = false;
    asio::async_write(Caller, asio::buffer(Bytes),
                      [&](std::error_code, std::size_t) { Sent = true; });
    EXPECT_TRUE(runUntil(Context, [&] { return Sent; }));
  }

  // Runs the server until it has read what was sent.
  void settle() {
    TimePoint End = Timers.now() + milliseconds(50);
    runUntil(Context, [&] { return Timers.now() >= End; });
  }

  // Returns the status of the next answer.
  std::string status() {
    std::string Received;
    std::array<char, 4'096> Buffer{};
    bool Done = false;
    Caller.async_read_some(asio::buffer(Buffer),
                           [&](std::error_code, std::size_t Size) {
                             Received.append(Buffer.data(), Size);
                             Done = true;
                           });
    EXPECT_TRUE(runUntil(Context, [&] { return Done; }));
    return Received.substr(0, Received.find("\r\n"));
  }
};

// Guards against proper requests that are refused for as long as their
// connection lasts, since it took the limit when it was accepted (DENIED).
TEST_F(CallerServerLimitTest, AppliesRaisedHeadLimitToKeptConnections) {
  setLimits(16'384);
  send(headOf(1'000));
  EXPECT_EQ(status(), "HTTP/1.1 200 OK");
  setLimits(32'768);
  send(headOf(20'000));
  EXPECT_EQ(status(), "HTTP/1.1 200 OK");
}

TEST_F(CallerServerLimitTest, AppliesRaisedLimitsToARequestThatIsHalfRead) {
  setLimits(16'384, 100);
  std::string Request = headOf(20'000, 200) + std::string(200, 'b');
  send(Request.substr(0, 10'000));
  settle();
  setLimits(32'768, 200);
  send(Request.substr(10'000));
  EXPECT_EQ(status(), "HTTP/1.1 200 OK");
}

TEST_F(CallerServerLimitTest, AppliesLoweredLimitsFromTheNextRequestOn) {
  setLimits(32'768, 200);
  std::string Request = headOf(20'000, 200) + std::string(200, 'b');
  send(Request.substr(0, 10'000));
  settle();
  setLimits(16'384, 100);
  send(Request.substr(10'000));
  EXPECT_EQ(status(), "HTTP/1.1 200 OK");
  send(headOf(20'000));
  EXPECT_EQ(status(), "HTTP/1.1 431 Request Header Fields Too Large");
}

// The parser library has a limit of its own.
TEST_F(CallerServerLimitTest, ReadsHeadsLargerThanTheParsersDefault) {
  setLimits(200'000);
  send(headOf(150'000));
  EXPECT_EQ(status(), "HTTP/1.1 200 OK");
  send(headOf(210'000));
  EXPECT_EQ(status(), "HTTP/1.1 431 Request Header Fields Too Large");
}

} // namespace
} // namespace samphirehill::serving

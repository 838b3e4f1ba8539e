#include "samphirehill/Serving/HttpMessage.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

struct Reading {
  explicit Reading(MessageKind Kind)
      : Reader(Kind, 256,
               {[this](bool Keep) {
                  KeepAlive = Keep;
                  return true;
                },
                [this](std::string_view Part) { Body += Part; },
                [this] { ++Ended; }}) {}

  bool KeepAlive = false;
  std::string Body;
  int Ended = 0;
  MessageReader Reader;
};

TEST(HttpMessageTest, StopsAfterOneMessage) {
  Reading Got(MessageKind::Request);
  std::string First = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
  EXPECT_EQ(Got.Reader.read(First + "GET /b HTTP/1.1\r\n\r\n"), First.size());
  EXPECT_EQ(Got.Ended, 1);
  EXPECT_EQ(Got.Body, "hi");
  EXPECT_EQ(Got.Reader.target(), "/a");
  EXPECT_TRUE(Got.KeepAlive);
}

// Guards against a second request hidden in the body of the first.
TEST(HttpMessageTest, RefusesAmbiguousFraming) {
  const char *Cases[] = {
      "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: "
      "5\r\n\r\nabcd",
      "POST /a HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd",
      "POST /a HTTP/1.1\r\nContent-Length: 4x\r\n\r\nabcd"};
  for (const char *Case : Cases) {
    Reading Got(MessageKind::Request);
    Got.Reader.read(Case);
    EXPECT_EQ(Got.Reader.error(), ReadError::Malformed) << Case;
    EXPECT_EQ(Got.Ended, 0) << Case;
  }
}

TEST(HttpMessageTest, RefusesHeadOverItsBound) {
  Reading Got(MessageKind::Request);
  Got.Reader.read("GET / HTTP/1.1\r\nX: " + std::string(300, 'a') + "\r\n\r\n");
  EXPECT_EQ(Got.Reader.error(), ReadError::HeadTooLarge);
}

TEST(HttpMessageTest, EndsBodyWithoutLengthAtOrderlyClose) {
  Reading Got(MessageKind::Response);
  Got.Reader.read("HTTP/1.1 200 OK\r\n\r\npart");
  EXPECT_EQ(Got.Ended, 0);
  Got.Reader.readEnd();
  EXPECT_EQ(Got.Ended, 1);
  EXPECT_EQ(Got.Body, "part");
}

TEST(HttpMessageTest, DoesNotEndTruncatedBodyAtClose) {
  Reading Got(MessageKind::Response);
  Got.Reader.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  Got.Reader.readEnd();
  EXPECT_EQ(Got.Ended, 0);
  EXPECT_EQ(Got.Reader.error(), ReadError::Malformed);
}

TEST(HttpMessageTest, RemovesHeadersOfOneConnection) {
  HeaderList Headers{{"Connection", "X-Own, close"},
                     {"x-own", "1"},
                     {"Transfer-Encoding", "chunked"},
                     {"X-Kept", "2"}};
  removeHopByHop(Headers);
  EXPECT_EQ(Headers, (HeaderList{{"X-Kept", "2"}}));
}

} // namespace
} // namespace samphirehill::serving

#include "samphirehill/Serving/HttpMessage.h"

#include "Serving/TestWire.h"

#include <gtest/gtest.h>

namespace samphirehill::serving {
namespace {

// A reader with a head limit of 256 bytes, and what it has reported.
struct ReadMessage {
  explicit ReadMessage(MessageKind Kind)
      : Reader(Kind, 256,
               {[this](bool Keep) {
                  KeepAlive = Keep;
                  return true;
                },
                [this](std::string_view Part) { Body += Part; },
                [this] { ++EndCount; }}) {}

  bool KeepAlive = false;
  std::string Body;
  int EndCount = 0;
  MessageReader Reader;
};

TEST(HttpMessageTest, StopsAfterOneMessage) {
  ReadMessage Message(MessageKind::Request);
  std::string First = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
  EXPECT_EQ(Message.Reader.read(First + "GET /b HTTP/1.1\r\n\r\n"),
            First.size());
  EXPECT_EQ(Message.EndCount, 1);
  EXPECT_EQ(Message.Body, "hi");
  EXPECT_EQ(Message.Reader.target(), "/a");
  EXPECT_TRUE(Message.KeepAlive);
}

// Guards against request smuggling: a second request hidden in the body of the
// first.
TEST(HttpMessageTest, RefusesAmbiguousFraming) {
  const char *Cases[] = {
      "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      "POST /a HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: "
      "5\r\n\r\nabcd",
      "POST /a HTTP/1.1\r\nContent-Length : 4\r\n\r\nabcd",
      "POST /a HTTP/1.1\r\nContent-Length: 4x\r\n\r\nabcd"};
  for (const char *Case : Cases) {
    ReadMessage Message(MessageKind::Request);
    Message.Reader.read(Case);
    EXPECT_EQ(Message.Reader.error(), ReadError::Malformed) << Case;
    EXPECT_EQ(Message.EndCount, 0) << Case;
  }
}

TEST(HttpMessageTest, RefusesHeadOverItsBound) {
  ReadMessage Message(MessageKind::Request);
  Message.Reader.read("GET / HTTP/1.1\r\nX: " + std::string(300, 'a') +
                      "\r\n\r\n");
  EXPECT_EQ(Message.Reader.error(), ReadError::HeadTooLarge);
}

TEST(HttpMessageTest, EndsBodyWithoutLengthAtOrderlyClose) {
  ReadMessage Message(MessageKind::Response);
  Message.Reader.read("HTTP/1.1 200 OK\r\n\r\npart");
  EXPECT_EQ(Message.EndCount, 0);
  Message.Reader.readEnd();
  EXPECT_EQ(Message.EndCount, 1);
  EXPECT_EQ(Message.Body, "part");
}

TEST(HttpMessageTest, DoesNotEndTruncatedBodyAtClose) {
  ReadMessage Message(MessageKind::Response);
  Message.Reader.read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  Message.Reader.readEnd();
  EXPECT_EQ(Message.EndCount, 0);
  EXPECT_EQ(Message.Reader.error(), ReadError::Malformed);
}

// Guards against an invalid status that is taken for that of an interim answer,
// or passed on (MIXED).
TEST(HttpMessageTest, RefusesInvalidStatusOfResponse) {
  for (const char *Status : UnusableStatuses) {
    ReadMessage Message(MessageKind::Response);
    Message.Reader.read("HTTP/1.1 " + std::string(Status) +
                        "\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(Message.Reader.error(), ReadError::Malformed) << Status;
    EXPECT_EQ(Message.EndCount, 0) << Status;
  }
}

TEST(HttpMessageTest, ReadsValidStatusOfResponse) {
  for (int Status : {100, 103, 199, 200, 299, 404, 500, 599}) {
    ReadMessage Message(MessageKind::Response);
    Message.Reader.read("HTTP/1.1 " + std::to_string(Status) +
                        " X\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(Message.Reader.error(), ReadError::None) << Status;
    EXPECT_EQ(Message.Reader.status(), Status);
  }
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

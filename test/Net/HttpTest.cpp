#include "samphirehill/Net/HttpClient.h"
#include "samphirehill/Net/HttpServer.h"

#include "Serving/Loopback.h"
#include "Serving/TestWire.h"

#include <asio/buffer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace samphirehill {
namespace {

class HttpTest : public testing::Test {
protected:
  void serve(HttpHandler Handler) {
    Server = std::get<0>(capture([&] {
      return HttpServer::create(Context, HttpServerOptions{},
                                std::move(Handler));
    }));
  }

  HttpRequest request(const std::string &Path) {
    HttpRequest Request;
    Request.Url = "http://127.0.0.1:" + std::to_string(Server->port()) + Path;
    return Request;
  }

  // Runs until Done or the deadline; the test then fails on its expectation.
  void runUntil(const bool &Done) {
    auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Done && std::chrono::steady_clock::now() < Deadline)
      Context.run_one_for(std::chrono::milliseconds(100));
  }

  // Sends Request, whole or streamed. Returns the answer, or the error.
  Outcome<HttpResponse> run(HttpRequest Request, bool Streamed,
                            bool *HeadSeen = nullptr) {
    bool Done = false;
    Outcome<HttpResponse> Ended = Error{ResultCode::Internal, "not ended"};
    auto OnDone = [&](Outcome<HttpResponse> Value) {
      Done = true;
      Ended = std::move(Value);
    };
    HttpStreamCallbacks Callbacks;
    Callbacks.OnDone = OnDone;
    Callbacks.OnHeaders = [&](const HttpResponse &) {
      if (HeadSeen)
        *HeadSeen = true;
    };
    CallId Call = Streamed
                      ? Client.stream(std::move(Request), std::move(Callbacks))
                      : Client.send(std::move(Request), OnDone);
    runUntil(Done);
    EXPECT_TRUE(Done);
    Client.cancel(Call); // or its callbacks would outlive this call
    return Ended;
  }

  static HttpRequest requestTo(std::uint16_t Port) {
    HttpRequest Request;
    Request.Url = "http://127.0.0.1:" + std::to_string(Port) + "/";
    Request.FreshConnection = true;
    return Request;
  }

  // Sends an upload to a server that reads nothing of it before Answer runs.
  // Returns the answer, or the error.
  Outcome<HttpResponse> upload(serving::ScriptedServer::Script Answer,
                               bool Streamed = false) {
    serving::ScriptedServer Unreading(Context, std::move(Answer),
                                      serving::RequestReading::None);
    HttpRequest Request = requestTo(Unreading.port());
    Request.Method = "POST";
    Request.Body = std::string(4'000'000, 'x');
    return run(std::move(Request), Streamed);
  }

  asio::io_context Context;
  TimerService Timers{Context};
  // Keeps the context from stopping while only the client's thread has work.
  asio::executor_work_guard<asio::io_context::executor_type> Guard{
      Context.get_executor()};
  std::unique_ptr<HttpServer> Server;
  HttpClient Client{Context};
  TimerSubscription EndTimer;
};

// Guards against lost methods, headers or bodies on either side.
TEST_F(HttpTest, EchoesRequestWhenAnsweredWhole) {
  serve([](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->respond(201,
                      {{"X-Echo", findHeader(Exchange->headers(), "x-in")}},
                      Exchange->method() + Exchange->path() + "?" +
                          Exchange->query() + Exchange->body());
  });
  HttpRequest Request = request("/a?b=c");
  Request.Method = "PUT";
  Request.Headers = {{"X-In", "7"}};
  Request.Body = "body";
  bool Done = false;
  Client.send(Request, [&](Outcome<HttpResponse> Value) {
    Done = true;
    ASSERT_EQ(errorOf(Value), nullptr) << errorOf(Value)->Message;
    EXPECT_EQ(std::get<0>(Value).Status, 201);
    EXPECT_EQ(std::get<0>(Value).Body, "PUT/a?b=cbody");
    EXPECT_EQ(findHeader(std::get<0>(Value).Headers, "x-echo"), "7");
  });
  runUntil(Done);
  EXPECT_TRUE(Done);
}

// Guards against a broken stream that looks like a complete one to the caller.
TEST_F(HttpTest, ReportsErrorWhenStreamIsAborted) {
  serve([](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->start(200, {});
    Exchange->write("part");
    Exchange->abort();
  });
  bool Done = false;
  HttpStreamCallbacks Callbacks;
  Callbacks.OnDone = [&](Outcome<HttpResponse> Value) {
    Done = true;
    ASSERT_NE(errorOf(Value), nullptr);
    EXPECT_EQ(errorOf(Value)->Code, ResultCode::BadAnswer);
  };
  Client.stream(request("/"), Callbacks);
  runUntil(Done);
  EXPECT_TRUE(Done);
}

TEST_F(HttpTest, DeliversChunksInOrderWhenStreamed) {
  serve([](std::shared_ptr<HttpExchange> Exchange) {
    Exchange->start(200, {{"Content-Type", "text/event-stream"}});
    for (int I = 0; I < 50; ++I)
      Exchange->write(std::to_string(I) + ",");
    Exchange->finish();
  });
  std::string Received;
  std::string Expected;
  for (int I = 0; I < 50; ++I)
    Expected += std::to_string(I) + ",";
  bool Done = false;
  HttpStreamCallbacks Callbacks;
  Callbacks.OnData = [&](std::string Chunk) { Received += Chunk; };
  Callbacks.OnDone = [&](Outcome<HttpResponse> Value) {
    Done = true;
    EXPECT_EQ(errorOf(Value), nullptr);
  };
  Client.stream(request("/"), Callbacks);
  runUntil(Done);
  EXPECT_EQ(Received, Expected);
}

// Guards against a "not run" that is untrue: only a request of which no byte
// was sent may end in ConnectFailed.
TEST_F(HttpTest, TellsConnectFailureFromLostAnswer) {
  struct Row {
    const char *Name;
    bool Listening;
    ResultCode Expected;
  };
  for (const Row &Case :
       {Row{"nobody listens", false, ResultCode::ConnectFailed},
        Row{"never answers", true, ResultCode::Timeout}}) {
    std::shared_ptr<HttpExchange> Held;
    serve([&](std::shared_ptr<HttpExchange> Exchange) { Held = Exchange; });
    HttpRequest Request = request("/");
    Request.Timeout = milliseconds(200);
    if (!Case.Listening)
      Server->close();
    bool Done = false;
    Client.send(Request, [&](Outcome<HttpResponse> Value) {
      Done = true;
      ASSERT_NE(errorOf(Value), nullptr) << Case.Name;
      EXPECT_EQ(errorOf(Value)->Code, Case.Expected) << Case.Name;
    });
    runUntil(Done);
    EXPECT_TRUE(Done) << Case.Name;
  }
}

// Guards against callbacks into freed state after a caller has gone.
TEST_F(HttpTest, CallsNothingAfterCancel) {
  bool Arrived = false;
  serve([&](std::shared_ptr<HttpExchange> Exchange) {
    Arrived = true;
    Exchange->respond(200, {}, "late");
  });
  bool Called = false;
  CallId Call =
      Client.send(request("/"), [&](Outcome<HttpResponse>) { Called = true; });
  runUntil(Arrived);
  Client.cancel(Call);
  Context.run_for(std::chrono::milliseconds(50));
  EXPECT_FALSE(Called);
}

// A server that sends Bytes to each connection and closes it.
class CutServer {
public:
  CutServer(asio::io_context &Context, std::string Bytes)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Bytes(std::move(Bytes)) {
    accept();
  }
  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(Acceptor.local_endpoint().port()) + "/";
  }

private:
  void accept() {
    Acceptor.async_accept([this](std::error_code Failed,
                                 asio::ip::tcp::socket Socket) {
      if (Failed)
        return;
      auto Open = std::make_shared<asio::ip::tcp::socket>(std::move(Socket));
      auto Request = std::make_shared<std::string>();
      asio::async_read_until(*Open, asio::dynamic_buffer(*Request), "\r\n\r\n",
                             [this, Open, Request](std::error_code, size_t) {
                               std::error_code Ignored;
                               asio::write(*Open, asio::buffer(Bytes), Ignored);
                               Open->close(Ignored);
                             });
      accept();
    });
  }

  asio::ip::tcp::acceptor Acceptor;
  std::string Bytes;
};

// Guards against an answer that broke off within its head and looks like a
// success with an empty or short body.
TEST_F(HttpTest, ReportsErrorWhenAnswerBreaksOff) {
  const std::string Whole = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n"
                            "Content-Length: 5\r\n\r\nwhole";
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    CutServer Cut(Context, Whole.substr(0, Size));
    for (bool Streamed : {false, true}) {
      HttpRequest Request;
      Request.Url = Cut.url();
      Outcome<HttpResponse> Ended = run(std::move(Request), Streamed);
      EXPECT_NE(errorOf(Ended), nullptr) << Whole.substr(0, Size);
    }
  }
}

// Guards against an answer with an invalid status that is passed on to callers.
TEST_F(HttpTest, ReportsErrorAtOnceWhenStatusIsInvalid) {
  for (const char *Status : serving::UnusableStatuses) {
    for (bool Streamed : {false, true}) {
      serving::ScriptedServer Odd(
          Context, [&](serving::ScriptedConnection &To, int) {
            To.send("HTTP/1.1 " + std::string(Status) +
                    "\r\nContent-Length: 3\r\n\r\nodd"
                    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
          });
      bool HeadSeen = false;
      Outcome<HttpResponse> Ended =
          run(requestTo(Odd.port()), Streamed, &HeadSeen);
      ASSERT_NE(errorOf(Ended), nullptr) << Status;
      EXPECT_EQ(errorOf(Ended)->Code, ResultCode::BadAnswer) << Status;
      EXPECT_FALSE(HeadSeen) << Status;
    }
  }
}

// Guards against an answer that is passed on with a line that callers read as
// something else. Trailers are handed over like headers.
TEST_F(HttpTest, ReportsErrorWhenFieldNameIsMalformed) {
  std::vector<std::string> Answers;
  for (const std::string &Line : serving::linesWithMalformedNames()) {
    for (const std::string Status : {"200 OK", "500 Failed"}) {
      Answers.push_back(
          serving::answer(Status + "\r\nX-Seal: s\r\n" + Line, "odd"));
      Answers.push_back(
          serving::answer(Status + "\r\n" + Line + "\r\nX-Seal: s", "odd"));
    }
    Answers.push_back("HTTP/1.1 103 Early\r\n" + Line + "\r\n\r\n" +
                      serving::answer("200 OK\r\nX-Seal: s", "odd"));
    Answers.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "3\r\nodd\r\n0\r\n" +
                      Line + "\r\n\r\n");
  }
  for (const std::string Line : {" X-Own: 1", "\tX-Own: 1"})
    Answers.push_back(serving::answer("200 OK\r\n" + Line, "odd"));
  // A CR in a value looks like the end of a line to some readers.
  for (const std::string Value : {"1\r X-Own: 1", "1\x01", "1\x7f"})
    Answers.push_back(serving::answer("200 OK\r\nX-Seal: " + Value, "odd"));
  for (const std::string &Each : Answers) {
    serving::ScriptedServer Odd(
        Context, [&](serving::ScriptedConnection &To, int) { To.send(Each); });
    Outcome<HttpResponse> Ended = run(requestTo(Odd.port()), false);
    EXPECT_NE(errorOf(Ended), nullptr) << Each;
    if (const Error *Failure = errorOf(Ended))
      EXPECT_EQ(Failure->Code, ResultCode::BadAnswer) << Each;
  }
}

// A line that begins with a blank continues the value before it (RFC 9112,
// section 5.2).
TEST_F(HttpTest, JoinsFoldedLinesOfAValue) {
  serving::ScriptedServer Folding(
      Context, [](serving::ScriptedConnection &To, int) {
        To.send(serving::answer("200 OK\r\nX-A: 1\r\n X-B: 2\r\n\tX-C: 3\r\n"
                                "X-D: 4",
                                "whole"));
      });
  Outcome<HttpResponse> Ended = run(requestTo(Folding.port()), false);
  ASSERT_EQ(errorOf(Ended), nullptr) << errorOf(Ended)->Message;
  const HttpHeaders &Headers = std::get<0>(Ended).Headers;
  EXPECT_EQ(findHeader(Headers, "X-A"), "1 X-B: 2 X-C: 3");
  EXPECT_EQ(findHeader(Headers, "X-B"), "");
  EXPECT_EQ(findHeader(Headers, "X-D"), "4");
}

TEST_F(HttpTest, HandsOverWellFormedFieldsAndTrailers) {
  serving::ScriptedServer Sound(
      Context, [](serving::ScriptedConnection &To, int) {
        To.send("HTTP/1.1 103 Early\r\nX-Early: 1\r\n\r\n"
                "HTTP/1.1 200 OK\r\nX-Own:1\r\nx!#$%&'*+-.^_`|~9: \xc3\xa9\r\n"
                "X-Empty:\r\nTransfer-Encoding: chunked\r\n\r\n"
                "5\r\nwhole\r\n0\r\nX-Trailer: 2\r\n\r\n");
      });
  Outcome<HttpResponse> Ended = run(requestTo(Sound.port()), false);
  ASSERT_EQ(errorOf(Ended), nullptr) << errorOf(Ended)->Message;
  const HttpResponse &Answer = std::get<0>(Ended);
  EXPECT_EQ(Answer.Body, "whole");
  EXPECT_EQ(findHeader(Answer.Headers, "X-Early"), "");
  EXPECT_EQ(findHeader(Answer.Headers, "X-Own"), "1");
  EXPECT_EQ(findHeader(Answer.Headers, "x!#$%&'*+-.^_`|~9"), "\xc3\xa9");
  EXPECT_EQ(findHeader(Answer.Headers, "X-Trailer"), "2");
}

// Guards against a process that runs out of memory because peers send bodies
// without end: each answer is bounded, and so is their sum.
TEST_F(HttpTest, EndsAnswersWithoutEndWhileOthersAreServed) {
  std::vector<std::shared_ptr<HttpExchange>> Endless;
  serve([&](std::shared_ptr<HttpExchange> Exchange) {
    if (Exchange->path() == "/sound")
      return Exchange->respond(200, {}, "whole");
    Exchange->start(500, {});
    Endless.push_back(Exchange);
  });
  constexpr int Calls = 8;
  int Failed = 0;
  for (int Call = 0; Call < Calls; ++Call)
    Client.send(request("/endless"), [&](const Outcome<HttpResponse> &Value) {
      ASSERT_NE(errorOf(Value), nullptr);
      EXPECT_EQ(errorOf(Value)->Code, ResultCode::BadAnswer);
      ++Failed;
    });
  auto Deadline = std::chrono::steady_clock::now() + std::chrono::seconds(4);
  while (Failed < Calls && std::chrono::steady_clock::now() < Deadline) {
    for (const std::shared_ptr<HttpExchange> &Each : Endless)
      Each->write(std::string(262'144, '?'));
    Context.run_one_for(std::chrono::milliseconds(1));
    Context.poll();
  }
  EXPECT_EQ(Failed, Calls);
  bool Done = false;
  Client.send(request("/sound"), [&](Outcome<HttpResponse> Value) {
    Done = true;
    ASSERT_EQ(errorOf(Value), nullptr);
    EXPECT_EQ(std::get<0>(Value).Body, "whole");
  });
  runUntil(Done);
  EXPECT_TRUE(Done);
}

// Guards against the copy of an answer that is taken for the next one. It
// arrives behind the answer, while no request is sent, or after the next one.
TEST_F(HttpTest, TakesNoCopyOfAnAnswerOnAnotherConnection) {
  const std::vector<std::string> Answers = {
      "HTTP/1.1 299 One\r\nContent-Length: 3\r\n\r\none",
      "HTTP/1.1 299 One\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 299 One\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\none\r\n0\r\n\r\n"};
  std::vector<std::unique_ptr<serving::ScriptedServer>> Servers;
  auto Expect = [&](const std::string &First, std::size_t Behind, bool Idle) {
    SCOPED_TRACE(First + std::to_string(Behind));
    const std::string Rest = First.substr(Behind);
    Servers.push_back(std::make_unique<serving::ScriptedServer>(
        Context, [=, &Servers](serving::ScriptedConnection &To, int Number) {
          if (Number == 1)
            return To.send(First + First.substr(0, Behind));
          if (!Idle)
            Servers.back()->connections()[0]->send(Rest);
          To.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
        }));
    for (int Expected : {299, 200}) {
      HttpRequest Request;
      Request.Url =
          "http://127.0.0.1:" + std::to_string(Servers.back()->port()) + "/";
      Request.FreshConnection = true;
      bool Done = false;
      Client.send(Request, [&](Outcome<HttpResponse> Value) {
        Done = true;
        ASSERT_EQ(errorOf(Value), nullptr);
        EXPECT_EQ(std::get<0>(Value).Status, Expected);
      });
      runUntil(Done);
      ASSERT_TRUE(Done);
      if (Idle && Expected == 299)
        Servers.back()->connections()[0]->send(Rest);
    }
  };
  for (const std::string &First : Answers)
    for (std::size_t Behind : {std::size_t(0), First.size() / 2, First.size()})
      for (bool Idle : {true, false})
        Expect(First, Behind, Idle);
}

// Guards against a part of an answer that passes for the whole one, when the
// connection is reset while the upload is being written. libcurl fails a
// transfer whose write operation fails.
TEST_F(HttpTest, ReportsErrorWhenAnswerToAnUploadIsCut) {
  for (const char *Head : {"HTTP/1.1 200 OK\r\n\r\n",
                           "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                           "HTTP/1.0 200 OK\r\n\r\n"}) {
    // A connection that is closed with unread bytes is reset too.
    for (auto Cut : {&serving::ScriptedConnection::reset,
                     &serving::ScriptedConnection::close}) {
      auto SendPart = [&](serving::ScriptedConnection &To, int) {
        To.send(Head + std::string("part"));
        EndTimer =
            Timers.after(milliseconds(20), [Cut, Open = To.shared_from_this()] {
              (Open.get()->*Cut)();
            });
      };
      for (bool Streamed : {false, true}) {
        Outcome<HttpResponse> Ended = upload(SendPart, Streamed);
        ASSERT_NE(errorOf(Ended), nullptr) << Head << Streamed;
        EXPECT_EQ(errorOf(Ended)->Code, ResultCode::BadAnswer);
      }
    }
  }
}

// A server may answer without having read the request.
TEST_F(HttpTest, DeliversWholeAnswerToAnUnreadUpload) {
  for (const char *Head : {"HTTP/1.1 200 OK\r\n\r\n",
                           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"}) {
    Outcome<HttpResponse> Ended =
        upload([&](serving::ScriptedConnection &To, int) {
          To.send(Head + std::string("whole"));
          To.finish();
          To.discard();
        });
    ASSERT_EQ(errorOf(Ended), nullptr) << errorOf(Ended)->Message;
    EXPECT_EQ(std::get<0>(Ended).Body, "whole") << Head;
  }
}

} // namespace
} // namespace samphirehill

// The path of a request from a caller's socket to scripted engines and back.
#include "samphirehill/Serving/RequestFlow.h"

#include "Serving/Loopback.h"
#include "Serving/TestFleet.h"
#include "Serving/TestWire.h"

#include <gtest/gtest.h>

#include <asio/read.hpp>

namespace samphirehill::serving {
namespace {

class RequestFlowTest : public testing::Test {
protected:
  RequestFlowTest()
      : Timers(Context), Pool(Context, Timers),
        Flows({Timers, Pool, Book, Retries, Crashes, Metrics, testWire(),
               [this](const InstanceLife &From, const AnswerFacts &Answer) {
                 heardFrom(From, Answer);
               }},
              flowSettings()),
        Callers(Context, Timers,
                [this](std::shared_ptr<CallerRequest> Request) {
                  Flows.accept(std::move(Request));
                }),
        Client(Context) {
    Retries.Bounds = {0.2, 100, seconds(10), 1};
    Config.Version = 1;
    Config.Services = testConfiguration().Services;
    addRoute("/safe/", RequestKind::Safe, PlainService, false);
    addRoute("/unsafe/", RequestKind::Unsafe, PlainService, false);
    addRoute("/stream/", RequestKind::Stream, PoolService, true);
    EXPECT_TRUE(Callers.listen({"127.0.0.1", CallersPort}));
    Client.connect({asio::ip::make_address("127.0.0.1"), CallersPort});
  }

  static FlowSettings flowSettings() {
    FlowSettings Made;
    Made.Zone = ZoneId("north");
    Made.StallLimit = milliseconds(150);
    Made.Wait.MaxAbsentWait = milliseconds(300);
    return Made;
  }

  void heardFrom(const InstanceLife &From, const AnswerFacts &Answer) {
    TimePoint Now = Timers.nowWithSuspension();
    if (Answer.Leaving)
      noteLeaving(Book.Notices, From, Now);
    if (Answer.QuietFor)
      noteQuiet(Book.Notices, From, *Answer.QuietFor, 0, Now);
  }

  void addRoute(const std::string &Prefix, RequestKind Kind,
                const ServiceId &Service, bool Resumable) {
    Route Made;
    Made.Name = Prefix;
    Made.Host = "h";
    Made.PathPrefix = Prefix;
    Made.Kind = Kind;
    Made.Resumable = Resumable;
    Made.Anonymous = true;
    Made.MaxAttempts = 2;
    Made.Timeout = seconds(3);
    Made.Services = {{Service, 1}};
    Routes.push_back(Made);
  }

  // Adds an engine that plays Script; the first added is chosen first.
  ScriptedServer &addEngine(const ServiceId &Service,
                            ScriptedServer::Script Script) {
    Engines.push_back(
        std::make_unique<ScriptedServer>(Context, std::move(Script)));
    Upstream Made;
    Made.Key = {InstanceId("i" + std::to_string(Engines.size())), 1};
    Made.Service = Service;
    Made.Model = Service == PoolService ? "large" : "";
    Made.Address = {"127.0.0.1", Engines.back()->port()};
    Made.Zone = ZoneId(Engines.size() == 1 ? "north" : "south");
    Made.Slots = 4;
    Usable.push_back(Made);
    updateUpstreams(Book, Usable);
    return *Engines.back();
  }

  void send(const std::string &Path) {
    Config.Routes = RouteTable::create(Routes);
    Flows.setConfiguration(std::make_shared<const Configuration>(Config));
    std::string Bytes = "POST " + Path +
                        "1 HTTP/1.1\r\nHost: h\r\nid: r1\r\n"
                        "Content-Length: 0\r\n\r\n";
    asio::write(Client, asio::buffer(Bytes));
    readMore();
  }

  void readMore() {
    Client.async_read_some(asio::buffer(Buffer),
                           [this](std::error_code Failed, std::size_t Size) {
                             if (Failed) {
                               Closed = true;
                               return;
                             }
                             Got.append(Buffer.data(), Size);
                             readMore();
                           });
  }

  bool awaitAnswer(const std::string &Part) {
    return runUntil(
               Context,
               [&] { return Closed || Got.find(Part) != std::string::npos; }) &&
           Got.find(Part) != std::string::npos;
  }

  std::uint16_t CallersPort = freePort();
  asio::io_context Context;
  TimerService Timers;
  ExchangePool Pool;
  UpstreamBook Book;
  RetryShare Retries;
  CrashRecord Crashes;
  ServingMetrics Metrics;
  Configuration Config;
  std::vector<Route> Routes; // of Config
  RequestFlows Flows;
  CallerServer Callers;
  std::vector<std::unique_ptr<ScriptedServer>> Engines;
  std::vector<Upstream> Usable;
  asio::ip::tcp::socket Client;
  std::array<char, 4'096> Buffer;
  std::string Got;
  bool Closed = false;
};

TEST_F(RequestFlowTest, ForwardsCompleteAnswer) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s\r\nx: 1", "body"));
  });
  send("/safe/");
  ASSERT_TRUE(awaitAnswer("body"));
  EXPECT_NE(Got.find("200 OK"), std::string::npos);
  EXPECT_NE(Got.find("seal: s"), std::string::npos);
}

// An answer to an earlier request may come where this one's is expected.
TEST_F(RequestFlowTest, SkipsAnswersToOtherRequests) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: other\r\nseal: s", "wrong"));
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "right"));
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("right"));
  EXPECT_EQ(Got.find("wrong"), std::string::npos);
}

struct FaultCase {
  const char *Name;
  ScriptedServer::Script Fault;
  const char *Unsafe; // status that the caller of an unsafe request gets
};

class RequestFlowFaultTest : public RequestFlowTest,
                             public testing::WithParamInterface<FaultCase> {};

// A request that may run only once goes to one engine, unless the engine says
// that it didn't run it; only then does the caller get a promise.
TEST_P(RequestFlowFaultTest, RunsUnsafeRequestOnceAtMost) {
  addEngine(PlainService, GetParam().Fault);
  ScriptedServer &Second =
      addEngine(PlainService, [](ScriptedConnection &To, int) {
        To.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
      });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer(GetParam().Unsafe));
  bool Promised = std::string(GetParam().Unsafe) == "200 OK";
  EXPECT_EQ(Second.requests(), Promised ? 1 : 0);
}

TEST_P(RequestFlowFaultTest, RetriesSafeRequest) {
  addEngine(PlainService, GetParam().Fault);
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
  });
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("second"));
}

INSTANTIATE_TEST_SUITE_P(
    Faults, RequestFlowFaultTest,
    testing::Values(
        FaultCase{"Reset", [](ScriptedConnection &To, int) { To.reset(); },
                  "502"},
        FaultCase{"Closed", [](ScriptedConnection &To, int) { To.close(); },
                  "502"},
        FaultCase{"Truncated",
                  [](ScriptedConnection &To, int) {
                    To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n"
                            "Content-Length: 50\r\n\r\npart");
                    To.close();
                  },
                  "502"},
        FaultCase{"Garbage",
                  [](ScriptedConnection &To, int) { To.send("garbage\r\n"); },
                  "502"},
        FaultCase{"NoSeal",
                  [](ScriptedConnection &To, int) {
                    To.send(answer("200 OK\r\nid: r1", "forged"));
                  },
                  "502"},
        FaultCase{"NotRun",
                  [](ScriptedConnection &To, int) {
                    To.send(answer("503 No\r\nid: r1\r\nnotrun: 1", ""));
                  },
                  "200 OK"}),
    [](const auto &Each) { return Each.param.Name; });

TEST_F(RequestFlowTest, SendsNothingToAnEngineThatIsLeaving) {
  ScriptedServer &Leaving =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(
            answer("200 OK\r\nid: r1\r\nseal: s\r\nleaving: 1", "A"));
      });
  ScriptedServer &Other =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "B"));
      });
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nA"));
  for (int Sent = 0; Sent < 3; ++Sent) {
    Got.clear();
    send("/safe/");
    EXPECT_TRUE(awaitAnswer("\r\n\r\nB"));
  }
  EXPECT_EQ(Leaving.requests(), 1);
  EXPECT_EQ(Other.requests(), 3);
}

TEST_F(RequestFlowTest, SendsNothingToAnEngineDuringItsRequestedPause) {
  ScriptedServer &Quiet =
      addEngine(PlainService, [](ScriptedConnection &Connection, int Number) {
        Connection.send(
            Number == 1
                ? answer("503 Full\r\nid: r1\r\nnotrun: 1\r\nquiet: 400", "")
                : answer("200 OK\r\nid: r1\r\nseal: s", "A"));
      });
  addEngine(PlainService, [](ScriptedConnection &Connection, int) {
    Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "B"));
  });
  TimePoint Began = Timers.now();
  while (Timers.now() - Began < milliseconds(390)) {
    Got.clear();
    send("/unsafe/");
    EXPECT_TRUE(awaitAnswer("\r\n\r\nB"));
  }
  EXPECT_EQ(Quiet.requests(), 1);
  runUntil(Context, [&] { return Timers.now() - Began > milliseconds(450); });
  Got.clear();
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nA"));
}

TEST_F(RequestFlowTest, RefusesImmediatelyWhenAllEnginesRequestedAPause) {
  ScriptedServer &Quiet =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(
            answer("503 Full\r\nid: r1\r\nnotrun: 1\r\nquiet: 5000", ""));
      });
  TimePoint Began = Timers.now();
  for (int Sent = 0; Sent < 2; ++Sent) {
    Got.clear();
    send("/safe/");
    EXPECT_TRUE(awaitAnswer("503"));
    EXPECT_TRUE(awaitAnswer("retry: yes"));
  }
  EXPECT_LT(toMilliseconds(Timers.now() - Began), 250);
  EXPECT_EQ(Quiet.requests(), 1);
}

// A failure without a promise may have run, whatever pause it asks for.
TEST_F(RequestFlowTest, ForwardsFailureThatRequestsAPause) {
  addEngine(PlainService, [](ScriptedConnection &Connection, int) {
    Connection.send(answer("503 Full\r\nid: r1\r\nquiet: 5000", "x"));
  });
  ScriptedServer &Other =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "B"));
      });
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nx"));
  EXPECT_EQ(Other.requests(), 0);
}

// A refusal that names no request may be a late copy of an earlier one, while
// the engine runs this request.
TEST_F(RequestFlowTest, IgnoresNotRunStatementWithoutIdOnAReusedConnection) {
  for (const char *Head : {"503 Full\r\nnotrun: 1", "421 Wrong\r\nnotrun: 1",
                           "500 Failed\r\nseal: f"}) {
    Engines.clear();
    Usable.clear();
    Got.clear();
    ScriptedServer &First =
        addEngine(PlainService, [Head](ScriptedConnection &To, int Number) {
          if (Number == 2)
            To.send(answer(Head, "copy"));
          To.send(answer("200 OK\r\nid: r1\r\nseal: s",
                         "run " + std::to_string(Number)));
        });
    ScriptedServer &Second =
        addEngine(PlainService, [](ScriptedConnection &To, int) {
          To.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
        });
    send("/unsafe/");
    ASSERT_TRUE(awaitAnswer("run 1"));
    Got.clear();
    send("/unsafe/");
    EXPECT_TRUE(awaitAnswer("run 2")) << Head << "\n" << Got;
    EXPECT_EQ(First.requests(), 2);
    EXPECT_EQ(First.connections().size(), 1u);
    EXPECT_EQ(Second.requests(), 0) << Head;
  }
}

// The only request of a connection is the one that its answer is for.
TEST_F(RequestFlowTest, AcceptsNotRunStatementWithoutIdOnANewConnection) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("503 Full\r\nnotrun: 1", ""));
  });
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
  });
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("second"));
}

struct CopyCase {
  const char *Name;
  bool SameRead; // as the refusal itself
};

class RequestFlowCopyTest : public RequestFlowTest,
                            public testing::WithParamInterface<CopyCase> {};

// An engine that refused a request gets it again, under its next epoch, and
// runs it. The second copy of its refusal is no answer to that.
TEST_P(RequestFlowCopyTest, IgnoresDuplicateOfAnEarlierRefusal) {
  const std::string Refusal = answer("503 Full\r\nid: r1\r\nnotrun: 1", "");
  ScriptedServer *Server = nullptr;
  Server =
      &addEngine(PlainService, [&, this](ScriptedConnection &To, int Number) {
        if (Number == 1)
          return To.send(GetParam().SameRead ? Refusal + Refusal : Refusal);
        if (!GetParam().SameRead)
          Server->connections().at(0)->send(Refusal);
        To.send(answer("200 OK\r\nid: r1\r\nseal: s", "ran"));
      });
  Usable.push_back(Usable.back());
  Usable.back().Key.Epoch = 2;
  updateUpstreams(Book, Usable);
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("ran")) << Got;
  EXPECT_EQ(Server->requests(), 2);
}

INSTANTIATE_TEST_SUITE_P(Copies, RequestFlowCopyTest,
                         testing::Values(CopyCase{"InTheSameRead", true},
                                         CopyCase{"Later", false}),
                         [](const auto &Each) { return Each.param.Name; });

TEST_F(RequestFlowTest, ForwardsEngineFailureUnchanged) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("500 Failed\r\nid: r1\r\nseal: f", "why"));
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("why"));
  EXPECT_NE(Got.find(" 500 "), std::string::npos);
  EXPECT_NE(Got.find("seal: f"), std::string::npos);
}

TEST_F(RequestFlowTest, StopsAtTheRoutesMaxAttempts) {
  auto Fail = [](ScriptedConnection &To, int) {
    To.send(answer("500 Failed\r\nid: r1\r\nseal: f", "why"));
  };
  for (int Number = 0; Number < 4; ++Number)
    addEngine(PlainService, Fail);
  send("/safe/");
  ASSERT_TRUE(awaitAnswer("why"));
  int Runs = 0;
  for (const auto &Each : Engines)
    Runs += Each->requests();
  EXPECT_EQ(Runs, 2);
}

TEST_F(RequestFlowTest, ResumesBrokenStreamAfterTheLastCompleteEvent) {
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: one\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
    To.send(serializeChunk("id: 1\ndata: a\n\nid: 2\nda"));
    To.reset();
  });
  ScriptedServer &Second =
      addEngine(PoolService, [](ScriptedConnection &To, int) {
        To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: two\r\n"
                "Transfer-Encoding: chunked\r\n\r\n");
        To.send(serializeChunk("id: 2\ndata: b\n\n") + std::string(LastChunk));
      });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("0\r\n\r\n"));
  EXPECT_NE(Second.Heads.at(0).find("last: 1"), std::string::npos);
  EXPECT_NE(Got.find("seal: one"), std::string::npos);
  EXPECT_EQ(Got.find("seal: two"), std::string::npos);
  EXPECT_EQ(Got.find("data: a"), Got.rfind("data: a"));
  EXPECT_NE(Got.find("id: 2\ndata: b\n\n"), std::string::npos);
}

// A stream that can't go on must not look complete.
TEST_F(RequestFlowTest, AbortsStreamThatCannotBeResumed) {
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: one\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
    To.send(serializeChunk("id: 1\ndata: a\n\n"));
    To.reset();
  });
  send("/stream/");
  ASSERT_TRUE(runUntil(Context, [&] { return Closed; }));
  EXPECT_EQ(Got.find("0\r\n\r\n"), std::string::npos);
}

// The load pattern: a member of a group dies; its head goes on accepting
// requests and nothing moves.
TEST_F(RequestFlowTest, MovesStreamAwayFromStalledGroup) {
  ScriptedServer &Stalled =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "id: 1\ndata: x\n\n"));
  });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("data: x"));
  EXPECT_EQ(Stalled.requests(), 1);
  EXPECT_TRUE(Stalled.connections().at(0)->PeerClosed || runUntil(Context, [&] {
                return Stalled.connections().at(0)->PeerClosed;
              }));
}

const std::string StreamHead = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string &Data) { return serializeChunk(Data); }

// Bytes that are no event and never end must not fill the entry's memory.
TEST_F(RequestFlowTest, ResumesElsewhereWhenAnEventNeverEnds) {
  TimerSubscription Flood;
  addEngine(PoolService, [&](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 1\n\n"));
    Flood = Timers.every(milliseconds(1),
                         [&To] { To.send(chunk(std::string(16'384, 'x'))); });
  });
  ScriptedServer &Second =
      addEngine(PoolService, [](ScriptedConnection &To, int) {
        To.send(StreamHead + chunk("id: 2\n\n") + std::string(LastChunk));
      });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("id: 2\n\n"));
  Flood.cancel();
  EXPECT_NE(Second.Heads[0].find("last: 1"), std::string::npos);
  EXPECT_EQ(Got.find("xxx"), std::string::npos);
  EXPECT_TRUE(runUntil(
      Context, [&] { return Engines[0]->connections()[0]->PeerClosed; }));
}

// A byte now and then is no progress; only whole events are.
TEST_F(RequestFlowTest, MovesStreamAwayFromAnEngineThatSendsByteByByte) {
  TimerSubscription Drip;
  addEngine(PoolService, [&](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 1\n\n"));
    Drip = Timers.every(milliseconds(40), [&To] { To.send(chunk("x")); });
  });
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 2\n\n") + std::string(LastChunk));
  });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("id: 2\n\n"));
  Drip.cancel();
  EXPECT_EQ(Got.find('x'), std::string::npos);
}

// A slow stream whose events come whole is sound.
TEST_F(RequestFlowTest, KeepsASlowStreamThatSendsCompleteEvents) {
  int Sent = 0;
  TimerSubscription Drip;
  addEngine(PoolService, [&](ScriptedConnection &To, int) {
    To.send(StreamHead);
    Drip = Timers.every(milliseconds(100), [&To, &Sent, &Drip] {
      To.send(chunk("id: " + std::to_string(++Sent) + "\n\n"));
      if (Sent < 6)
        return;
      To.send(std::string(LastChunk));
      Drip.cancel();
    });
  });
  ScriptedServer &Second =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("0\r\n\r\n"));
  EXPECT_NE(Got.find("id: 6"), std::string::npos);
  EXPECT_EQ(Second.requests(), 0);
}

// Answers to other requests that never end: the request may have run, and is
// answered long before its deadline.
TEST_F(RequestFlowTest, FailsAfterTooManyAnswersToOtherRequests) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    for (int Number = 0; Number < 50; ++Number)
      To.send(answer("200 OK\r\nid: other\r\nseal: s", "wrong"));
  });
  TimePoint Begun = Timers.now();
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("502"));
  EXPECT_LT(Timers.now() - Begun, seconds(1));
  EXPECT_EQ(Got.find("wrong"), std::string::npos);
  EXPECT_EQ(Engines[0]->requests(), 1);
}

// A body without end: the connection is closed, the request ends.
TEST_F(RequestFlowTest, FailsWhenAnotherRequestsBodyNeverEnds) {
  TimerSubscription Flood;
  addEngine(PlainService, [&](ScriptedConnection &To, int) {
    To.send("HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\n\r\n");
    Flood = Timers.every(milliseconds(1),
                         [&To] { To.send(std::string(65'536, 'x')); });
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("502"));
  Flood.cancel();
  EXPECT_EQ(Engines[0]->requests(), 1);
}

// What an engine answers instead of the rest of a stream.
struct StreamCase {
  const char *Name;
  std::string Answer;
  bool Close = false; // without a reset
  // An engine may begin and end a stream so.
  bool Whole = false;
};

const StreamCase StreamCases[] = {
    {"Failed", answer("500 Failed\r\nid: r1\r\nseal: s", "odd text\n\n")},
    {"FailedWithoutSeal", answer("500 Failed\r\nid: r1", "odd text\n\n")},
    {"Refused", answer("503 Full\r\nid: r1\r\nnotrun: 1", "odd text\n\n")},
    {"Unavailable", answer("503 Full\r\nid: r1", "odd text\n\n")},
    {"Misdirected", answer("421 Wrong\r\nid: r1\r\nnotrun: 1", "odd text")},
    {"NotFound", answer("404 Not Found\r\nid: r1\r\nseal: s", "odd text")},
    {"NoContent", "HTTP/1.1 204 No Content\r\nid: r1\r\nseal: s\r\n\r\n"},
    {"NoSeal", answer("200 OK\r\nid: r1", "id: 2\ndata: odd text\n\n")},
    {"NoEventStream", answer("200 OK\r\nid: r1\r\nseal: s\r\n"
                             "Content-Type: application/json",
                             "{\"error\":\"odd text\"}\n\n")},
    {"NoEvents", answer("200 OK\r\nid: r1\r\nseal: s", "odd text\n\n")},
    {"PartOfAnEvent",
     answer("200 OK\r\nid: r1\r\nseal: s", "id: 2\ndata: odd text"), false,
     true},
    {"Nothing", answer("200 OK\r\nid: r1\r\nseal: s", "")},
    {"ErrorAsBody",
     "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\n"
     "HTTP/1.1 500 Failed\r\nContent-Length: 8\r\n\r\nodd text",
     true},
    {"CutWithoutLength",
     "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\nid: 2\ndata: odd text", true},
    {"ResetWithoutLength",
     "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\nid: 2\ndata: odd text"},
    {"AfterAnotherAnswer",
     answer("200 OK\r\nid: other\r\nseal: s", "odd text\n\n") +
         answer("500 Failed\r\nid: r1\r\nseal: s", "odd text\n\n")}};

class RequestFlowStreamTest : public RequestFlowTest,
                              public testing::WithParamInterface<StreamCase> {
protected:
  static void play(ScriptedConnection &To) {
    To.send(GetParam().Answer);
    if (GetParam().Close)
      To.close();
    else
      To.reset();
  }

  static void begin(ScriptedConnection &To) {
    To.send(StreamHead + chunk("id: 1\ndata: a\n\n"));
    To.reset();
  }

  // The caller has got whole events only, and no end that looks complete.
  void expectBrokenOff() {
    ASSERT_TRUE(runUntil(Context, [&] { return Closed; })) << Got;
    EXPECT_NE(Got.find("id: 1\ndata: a\n\n"), std::string::npos) << Got;
    EXPECT_EQ(Got.find("odd text"), std::string::npos) << Got;
    EXPECT_EQ(Got.find("HTTP/1.1", 1), std::string::npos) << Got;
    EXPECT_EQ(Got.find("\r\n0\r\n"), std::string::npos) << Got;
  }
};

// A stream had begun and broke off; the next engine answered something else.
TEST_P(RequestFlowStreamTest, ForwardsNoErrorIntoAStartedStream) {
  addEngine(PoolService, [](ScriptedConnection &To, int) { begin(To); });
  addEngine(PoolService, [](ScriptedConnection &To, int) { play(To); });
  send("/stream/");
  expectBrokenOff();
}

TEST_P(RequestFlowStreamTest, ResumesFromAThirdEngine) {
  Routes.back().MaxAttempts = 3;
  addEngine(PoolService, [](ScriptedConnection &To, int) { begin(To); });
  addEngine(PoolService, [](ScriptedConnection &To, int) { play(To); });
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 2\ndata: b\n\n") + std::string(LastChunk));
  });
  send("/stream/");
  bool Complete = awaitAnswer("\r\n0\r\n");
  if (!Complete)
    return expectBrokenOff();
  EXPECT_NE(Got.find("id: 1\ndata: a\n\n"), std::string::npos) << Got;
  EXPECT_NE(Got.find("id: 2\ndata: b\n\n"), std::string::npos) << Got;
  EXPECT_EQ(Got.find("odd text"), std::string::npos) << Got;
}

// Before the first event the caller gets the engine's own answer whole, a
// failure, or a clear break; chunks are used for streams only.
TEST_P(RequestFlowStreamTest, StartsNoStreamThatLooksComplete) {
  Routes.back().Resumable = false;
  addEngine(PoolService, [](ScriptedConnection &To, int) { play(To); });
  send("/stream/");
  runUntil(Context, [&] { return Closed || Flows.activeCount() == 0; });
  awaitAnswer("\r\n\r\n");
  if (!GetParam().Whole) {
    EXPECT_EQ(Got.find("\r\n0\r\n"), std::string::npos) << Got;
  }
  EXPECT_EQ(Got.find("HTTP/1.1", 1), std::string::npos) << Got;
}

INSTANTIATE_TEST_SUITE_P(Answers, RequestFlowStreamTest,
                         testing::ValuesIn(StreamCases),
                         [](const auto &Each) { return Each.param.Name; });

TEST_F(RequestFlowTest, CancelsEngineRequestWhenCallerDisconnects) {
  ScriptedServer &Engine =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  send("/stream/");
  ASSERT_TRUE(runUntil(Context, [&] { return Engine.requests() == 1; }));
  Client.close();
  EXPECT_TRUE(runUntil(Context,
                       [&] { return Engine.connections().at(0)->PeerClosed; }));
  EXPECT_EQ(Flows.activeCount(), 0u);
}

TEST_F(RequestFlowTest, RefusesWithRetryAfterWhenNoGroupBecomesReady) {
  addEngine(PlainService, [](ScriptedConnection &, int) {});
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("retry: yes"));
  EXPECT_NE(Got.find(" 503 "), std::string::npos);
}

TEST_F(RequestFlowTest, RefusesOnceItsObjectiveCannotBeMet) {
  ScriptedServer &Engine =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  Book.Upstreams.begin()->second.Elsewhere.Running = 4;
  addRoute("/urgent/", RequestKind::Stream, PoolService, true);
  Routes.back().Objective = milliseconds(200);
  TimePoint Begun = Timers.now();
  send("/urgent/");
  ASSERT_TRUE(awaitAnswer("HTTP/1.1 503"));
  EXPECT_TRUE(awaitAnswer("retry: yes"));
  EXPECT_LT(Timers.now() - Begun, milliseconds(600)); // of 3 s left
  EXPECT_EQ(Engine.requests(), 0);
}

TEST_F(RequestFlowTest, ServesWaitingRequestWhenAGroupOpens) {
  addEngine(PlainService, [](ScriptedConnection &, int) {});
  send("/stream/");
  runUntil(Context, [&] { return Flows.activeCount() == 1; });
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "id: 1\ndata: x\n\n"));
  });
  Flows.dispatchWaiting();
  EXPECT_TRUE(awaitAnswer("data: x"));
}

TEST_F(RequestFlowTest, RefusesUnknownRouteAndKey) {
  Routes[0].Anonymous = false;
  addEngine(PlainService, [](ScriptedConnection &, int) {});
  send("/nowhere/");
  EXPECT_TRUE(awaitAnswer(" 404 "));
  send("/safe/");
  EXPECT_TRUE(awaitAnswer(" 401 "));
}

} // namespace
} // namespace samphirehill::serving

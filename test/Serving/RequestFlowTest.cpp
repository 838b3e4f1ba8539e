// Tests a request's way from a caller's socket to scripted engines and back.
#include "samphirehill/Serving/RequestFlow.h"

#include "samphirehill/Serving/LimitedPlacement.h"

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
        Flows({Timers,
               Pool,
               Book,
               Retries,
               Crashes,
               Suspects,
               Metrics,
               testWire(),
               [this](const InstanceLife &From, const AnswerFacts &Answer) {
                 noteInstanceState(From, Answer);
               },
               {}},
              flowSettings()),
        Callers(Context, Timers, Pool.bytes(),
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
    FlowSettings Settings;
    Settings.Zone = ZoneId("north");
    Settings.StallLimit = milliseconds(150);
    Settings.Wait.MaxAbsentWait = milliseconds(300);
    return Settings;
  }

  void noteInstanceState(const InstanceLife &From, const AnswerFacts &Answer) {
    TimePoint Now = Timers.nowWithSuspension();
    if (Answer.Leaving)
      noteLeaving(Book.Notices, From, Now);
    if (Answer.QuietFor)
      noteQuiet(Book.Notices, From, *Answer.QuietFor, 0, Now);
    if (noteAnswerLimit(Book, From, Answer, Metrics, Timers.now()))
      updateLimitShares(Book, Flows.requestRates(), Metrics, Timers.now());
  }

  void addRoute(const std::string &Prefix, RequestKind Kind,
                const ServiceId &Service, bool Resumable) {
    Route Added;
    Added.Name = Prefix;
    Added.Host = "h";
    Added.PathPrefix = Prefix;
    Added.Kind = Kind;
    Added.Resumable = Resumable;
    Added.Anonymous = true;
    Added.MaxAttempts = 2;
    Added.Timeout = seconds(3);
    Added.Services = {{Service, 1}};
    Routes.push_back(Added);
  }

  // Adds an engine that runs Script for each request. The engine added first is
  // chosen first, since it is in the entry's own zone.
  ScriptedServer &addEngine(const ServiceId &Service,
                            ScriptedServer::Script Script,
                            RequestReading Reading = RequestReading::Heads) {
    Engines.push_back(
        std::make_unique<ScriptedServer>(Context, std::move(Script), Reading));
    Upstream Added;
    Added.Key = {InstanceId("i" + std::to_string(Engines.size())), 1};
    Added.Service = Service;
    Added.Model = Service == PoolService ? "large" : "";
    Added.Address = {"127.0.0.1", Engines.back()->port()};
    Added.Zone = ZoneId(Engines.size() == 1 ? "north" : "south");
    Added.Slots = 4;
    Usable.push_back(Added);
    updateUpstreams(Book, Usable);
    return *Engines.back();
  }

  // Has the engine at Index limit requests to PerSecond, with Tokens left.
  void limitEngine(std::size_t Index, double PerSecond, double Tokens) {
    InstanceLife Life = lifeOf(Usable.at(Index));
    noteStatement(Book.Stated, {Life, PerSecond, Timers.now()},
                  Book.Limits.Self, Timers.now());
    RateShare &Share = Book.Stated.ByLife.at(Life).Tokens;
    Share = startedShare(0, Timers.now());
    updateLimitShares(Book, {}, Metrics, Timers.now());
    Share.Generated = Tokens;
  }

  // Adds Count engines that crash when they run a request.
  void addCrashingEngines(int Count) {
    for (int Added = 0; Added < Count; ++Added) {
      auto Self = std::make_shared<ScriptedServer *>();
      *Self = &addEngine(PoolService, [this, Self](ScriptedConnection &, int) {
        asio::post(Context, [Self] { (*Self)->crash(); });
      });
    }
  }

  // Sends a request with a body of its own and returns whether it is answered
  // with Status.
  bool isAnswered(const std::string &Headers, int Status) {
    Received.clear();
    Body += "x";
    send("/stream/", Headers);
    return awaitAnswer("HTTP/1.1 " + std::to_string(Status));
  }

  // Has Part blamed for crashes of three engines elsewhere.
  void blame(PromptPart Part) {
    for (int Number = 0; Number < 3; ++Number)
      noteCrash(Suspects,
                {{UpstreamId("gone-" + std::to_string(Number)), BootId("1")},
                 std::to_string(Number),
                 Timers.now(),
                 {{Part}}},
                Timers.now());
  }

  void configure() {
    Config.Routes = RouteTable::create(Routes);
    Flows.setConfiguration(std::make_shared<const Configuration>(Config));
  }

  void send(const std::string &Path, const std::string &Headers = "") {
    configure();
    sendUnconfigured(Path, Headers);
  }

  void sendUnconfigured(const std::string &Path,
                        const std::string &Headers = "") {
    std::string Bytes = "POST " + Path +
                        "1 HTTP/1.1\r\nHost: h\r\nid: " + RequestId +
                        "\r\nContent-Length: " + std::to_string(Body.size()) +
                        "\r\n" + Headers + "\r\n" + Body;
    asio::write(Client, asio::buffer(Bytes));
    if (std::exchange(Reading, true))
      return;
    readMore();
  }

  void readMore() {
    Client.async_read_some(asio::buffer(Buffer),
                           [this](std::error_code Failed, std::size_t Size) {
                             if (Failed) {
                               Closed = true;
                               return;
                             }
                             Received.append(Buffer.data(), Size);
                             readMore();
                           });
  }

  // Returns whether Part is received before the connection closes or 5 s pass.
  bool awaitAnswer(const std::string &Part) {
    return runUntil(Context,
                    [&] {
                      return Closed || Received.find(Part) != std::string::npos;
                    }) &&
           Received.find(Part) != std::string::npos;
  }

  std::uint16_t CallersPort = freePort();
  asio::io_context Context;
  TimerService Timers;
  ExchangePool Pool;
  UpstreamBook Book;
  RetryShare Retries;
  CrashRecord Crashes;
  PartSuspects Suspects;
  ServingMetrics Metrics;
  Configuration Config;
  std::vector<Route> Routes; // of Config
  RequestFlows Flows;
  CallerServer Callers;
  std::vector<std::unique_ptr<ScriptedServer>> Engines;
  std::vector<Upstream> Usable;
  asio::ip::tcp::socket Client;
  std::array<char, 4'096> Buffer;
  std::string Received;
  std::string RequestId = "r1";
  std::string Body;   // of the requests
  std::string Tested; // what an engine sends
  bool Reading = false;
  bool Closed = false;
};

TEST_F(RequestFlowTest, ForwardsCompleteAnswer) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s\r\nx: 1", "body"));
  });
  send("/safe/");
  ASSERT_TRUE(awaitAnswer("body"));
  EXPECT_NE(Received.find("200 OK"), std::string::npos);
  EXPECT_NE(Received.find("seal: s"), std::string::npos);
}

// On a reused connection, an answer to an earlier request may arrive before the
// answer to this one.
TEST_F(RequestFlowTest, SkipsAnswersToOtherRequests) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: other\r\nseal: s", "wrong"));
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "right"));
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("right"));
  EXPECT_EQ(Received.find("wrong"), std::string::npos);
}

struct FaultCase {
  const char *Name;
  ScriptedServer::Script Fault;
  const char *UnsafeStatus; // status that the caller of an unsafe request gets
};

class RequestFlowFaultTest : public RequestFlowTest,
                             public testing::WithParamInterface<FaultCase> {};

// A request that may run only once is sent to one engine only, unless that
// engine states that it did not run the request. Otherwise the caller gets 502,
// which does not promise that the request was not run.
TEST_P(RequestFlowFaultTest, RunsUnsafeRequestOnceAtMost) {
  addEngine(PlainService, GetParam().Fault);
  ScriptedServer &Second =
      addEngine(PlainService, [](ScriptedConnection &To, int) {
        To.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
      });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer(GetParam().UnsafeStatus));
  bool StatedNotRun = std::string(GetParam().UnsafeStatus) == "200 OK";
  EXPECT_EQ(Second.requests(), StatedNotRun ? 1 : 0);
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
    [](const auto &Info) { return Info.param.Name; });

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
    Received.clear();
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
  TimePoint Start = Timers.now();
  while (Timers.now() - Start < milliseconds(390)) {
    Received.clear();
    send("/unsafe/");
    EXPECT_TRUE(awaitAnswer("\r\n\r\nB"));
  }
  EXPECT_EQ(Quiet.requests(), 1);
  runUntil(Context, [&] { return Timers.now() - Start > milliseconds(450); });
  Received.clear();
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nA"));
}

// An engine asks for a pause while a connection to it is being made. That
// nothing is then sent is no sign that its zone can't be reached.
TEST_F(RequestFlowTest, CountsNoZoneAsUnreachedWhenSendingIsNotAllowed) {
  ScriptedServer &Quiet =
      addEngine(PlainService, [](ScriptedConnection &, int) {});
  send("/unsafe/");
  const UpstreamState &Chosen = Book.Upstreams.begin()->second;
  ASSERT_TRUE(runUntil(Context, [&] { return Chosen.OwnLoad.Running == 1; }));
  noteQuiet(Book.Notices, lifeOf(Chosen.Info), seconds(5), 0,
            Timers.nowWithSuspension());
  ASSERT_TRUE(awaitAnswer("HTTP/1.1 503")) << Received;
  EXPECT_EQ(Quiet.requests(), 0);
  EXPECT_EQ(Book.Reach.Seen[Chosen.Info.Zone].FailedAt, TimePoint{});
}

TEST_F(RequestFlowTest, RefusesImmediatelyWhenAllEnginesRequestedAPause) {
  ScriptedServer &Quiet =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(
            answer("503 Full\r\nid: r1\r\nnotrun: 1\r\nquiet: 5000", ""));
      });
  TimePoint Start = Timers.now();
  for (int Sent = 0; Sent < 2; ++Sent) {
    Received.clear();
    send("/safe/");
    EXPECT_TRUE(awaitAnswer("503"));
    EXPECT_TRUE(awaitAnswer("retry: yes"));
  }
  EXPECT_LT(toMilliseconds(Timers.now() - Start), 250);
  EXPECT_EQ(Quiet.requests(), 1);
}

TEST_F(RequestFlowTest, SendsElsewhereWhileAnEngineIsLimited) {
  ScriptedServer &Limited =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(
            answer("200 OK\r\nid: r1\r\nseal: s\r\nlimit: 0.3", "A"));
      });
  addEngine(PlainService, [](ScriptedConnection &Connection, int) {
    Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "B"));
  });
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nA"));
  for (int Sent = 0; Sent < 3; ++Sent) {
    Received.clear();
    send("/unsafe/");
    EXPECT_TRUE(awaitAnswer("\r\n\r\nB"));
  }
  EXPECT_EQ(Limited.requests(), 1);
}

TEST_F(RequestFlowTest, RefusesImmediatelyWhenItsTurnAtLimitedEnginesIsLate) {
  ScriptedServer &Limited =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(
            answer("200 OK\r\nid: r1\r\nseal: s\r\nlimit: 0.3", "A"));
      });
  Routes[0].Objective = milliseconds(500);
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nA"));
  Received.clear();
  TimePoint Start = Timers.now();
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("503"));
  EXPECT_TRUE(awaitAnswer("retry: yes"));
  EXPECT_LT(toMilliseconds(Timers.now() - Start), 250);
  EXPECT_EQ(Limited.requests(), 1);
}

TEST_F(RequestFlowTest, WaitsForItsTurnAtALimitedEngine) {
  addEngine(PlainService, [](ScriptedConnection &Connection, int Number) {
    Connection.send(answer("200 OK\r\nid: r1\r\nseal: s\r\nlimit: 4",
                           "run " + std::to_string(Number)));
  });
  Routes[0].Objective = seconds(2);
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("run 1"));
  TimePoint Start = Timers.now();
  for (int Number = 2; Number <= 4; ++Number) {
    send("/safe/");
    EXPECT_TRUE(awaitAnswer("run " + std::to_string(Number)));
  }
  EXPECT_GT(toMilliseconds(Timers.now() - Start), 490);
}

// A retry and a continued stream reach the instance like other requests.
TEST_F(RequestFlowTest, CountsRetriesAgainstTheLimitOfAnEngine) {
  addEngine(PlainService, [](ScriptedConnection &To, int) { To.reset(); });
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s\r\nlimit: 0.3", "B"));
  });
  limitEngine(1, 0.3, 1);
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nB"));
  EXPECT_TRUE(isHeldBack(Book, Usable[1], Timers.now()));
}

TEST_F(RequestFlowTest, CountsContinuedStreamsAgainstTheLimitOfAnEngine) {
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: one\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
    To.send(serializeChunk("id: 1\ndata: a\n\n"));
    To.reset();
  });
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: two\r\nlimit: 0.3\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
    To.send(serializeChunk("id: 2\ndata: b\n\n") + std::string(LastChunk));
  });
  limitEngine(1, 0.3, 1);
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("0\r\n\r\n"));
  EXPECT_TRUE(isHeldBack(Book, Usable[1], Timers.now()));
}

// A refusal with 503 states that the request has not run.
TEST_F(RequestFlowTest, RefusesNoRequestAsLimitedThatMayHaveRun) {
  addEngine(PlainService, [](ScriptedConnection &To, int) { To.reset(); });
  ScriptedServer &Limited =
      addEngine(PlainService, [](ScriptedConnection &To, int) {
        To.send(answer("200 OK\r\nid: r1\r\nseal: s\r\nlimit: 0.3", "B"));
      });
  limitEngine(1, 0.3, 0);
  Routes[0].Timeout = milliseconds(600);
  Routes[0].Objective = milliseconds(200);
  send("/safe/");
  ASSERT_TRUE(awaitAnswer("HTTP/1.1 50"));
  EXPECT_EQ(Received.find("HTTP/1.1 503"), std::string::npos) << Received;
  EXPECT_EQ(Limited.requests(), 0);
}

// Power is back and all entries are new processes: callers reach them some
// milliseconds before they have read the configuration.
TEST_F(RequestFlowTest, HoldsRequestUntilTheFirstConfiguration) {
  addEngine(PlainService, [](ScriptedConnection &Connection, int) {
    Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "A"));
  });
  sendUnconfigured("/safe/");
  ASSERT_TRUE(runUntil(Context, [&] { return Flows.activeCount() == 1; }));
  EXPECT_TRUE(Received.empty());
  configure();
  EXPECT_TRUE(awaitAnswer("\r\n\r\nA"));
}

// The platform is away: requests are refused soon, and then at once.
TEST_F(RequestFlowTest, RefusesRequestsWhenNoConfigurationArrives) {
  TimePoint Start = Timers.now();
  sendUnconfigured("/safe/");
  EXPECT_TRUE(awaitAnswer("503"));
  EXPECT_TRUE(awaitAnswer("retry: yes"));
  EXPECT_LT(toMilliseconds(Timers.now() - Start), 900);
  Received.clear();
  Start = Timers.now();
  sendUnconfigured("/safe/");
  EXPECT_TRUE(awaitAnswer("503"));
  EXPECT_LT(toMilliseconds(Timers.now() - Start), 250);
}

// The engines' zone is cut off: a request isn't tried there, and its caller is
// told at once when another zone can take it.
TEST_F(RequestFlowTest, RefusesImmediatelyWhenAllEnginesAreOutOfReach) {
  ScriptedServer &Engine =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "A"));
      });
  const ZoneId Zone = Book.Upstreams.begin()->second.Info.Zone;
  Book.Reach.CutOff = {Zone};
  TimePoint Start = Timers.now();
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("503"));
  EXPECT_TRUE(awaitAnswer("retry: yes"));
  EXPECT_LT(toMilliseconds(Timers.now() - Start), 250);
  EXPECT_EQ(Engine.requests(), 0);
  Book.Reach.CutOff.clear();
  Received.clear();
  send("/safe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nA"));
}

// A request that failed without the statement that it was not run may have run,
// even if the answer requests a pause. So it is not retried, and its caller
// gets no promise.
TEST_F(RequestFlowTest, RetriesNoFailureThatRequestsAPause) {
  addEngine(PlainService, [](ScriptedConnection &Connection, int) {
    Connection.send(answer("503 Full\r\nid: r1\r\nquiet: 5000", "x"));
  });
  ScriptedServer &Other =
      addEngine(PlainService, [](ScriptedConnection &Connection, int) {
        Connection.send(answer("200 OK\r\nid: r1\r\nseal: s", "B"));
      });
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("HTTP/1.1 502"));
  EXPECT_EQ(Other.requests(), 0);
}

// A refusal without a request id on a reused connection may be a late copy of
// an earlier refusal, while the engine is running this request.
TEST_F(RequestFlowTest, IgnoresNotRunStatementWithoutIdOnAReusedConnection) {
  for (const char *Head : {"503 Full\r\nnotrun: 1", "421 Wrong\r\nnotrun: 1",
                           "500 Failed\r\nseal: f"}) {
    Engines.clear();
    Usable.clear();
    Received.clear();
    ScriptedServer &First =
        addEngine(PlainService, [Head](ScriptedConnection &To, int Number) {
          if (Number == 2)
            To.send(answer(Head, "copy"));
          std::string Run = std::to_string(Number);
          To.send(
              answer("200 OK\r\nid: r" + Run + "\r\nseal: s", "run " + Run));
        });
    ScriptedServer &Second =
        addEngine(PlainService, [](ScriptedConnection &To, int) {
          To.send(answer("200 OK\r\nid: r2\r\nseal: s", "second"));
        });
    RequestId = "r1";
    send("/unsafe/");
    ASSERT_TRUE(awaitAnswer("run 1"));
    Received.clear();
    RequestId = "r2";
    send("/unsafe/");
    EXPECT_TRUE(awaitAnswer("run 2")) << Head << "\n" << Received;
    EXPECT_EQ(First.requests(), 2);
    EXPECT_EQ(First.connections().size(), 1u);
    EXPECT_EQ(Second.requests(), 0) << Head;
  }
}

// An answer on a connection that has carried only this request belongs to it.
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
  bool SameRead; // the copy arrives together with the refusal itself
};

class RequestFlowCopyTest : public RequestFlowTest,
                            public testing::WithParamInterface<CopyCase> {};

// An engine refuses a request, receives it again under its next epoch and runs
// it. A second copy of the refusal must not be taken for the answer to the
// second attempt.
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
  EXPECT_TRUE(awaitAnswer("ran")) << Received;
  EXPECT_EQ(Server->requests(), 2);
}

INSTANTIATE_TEST_SUITE_P(Copies, RequestFlowCopyTest,
                         testing::Values(CopyCase{"InTheSameRead", true},
                                         CopyCase{"Later", false}),
                         [](const auto &Info) { return Info.param.Name; });

// An instance refuses a request that was meant for its predecessor at the
// address, and runs it once the list names the instance itself. A copy of the
// refusal then bears the id of the request in progress.
TEST_F(RequestFlowTest, IgnoresCopyOfRefusalByNextInstanceAtTheAddress) {
  const std::string Refusal = answer("421 Wrong\r\nid: r1\r\nnotrun: 1", "");
  ScriptedServer *Server = nullptr;
  Server = &addEngine(PlainService, [&](ScriptedConnection &To, int Number) {
    Server->connections().at(0)->send(Refusal);
    if (Number == 2)
      To.send(answer("200 OK\r\nid: r1\r\nseal: s", "ran"));
  });
  send("/unsafe/");
  ASSERT_TRUE(runUntil(Context, [&] {
    return Book.Upstreams.begin()->second.Avoid == AvoidReason::Refusing;
  }));
  Usable.back().Key.Instance = InstanceId("next");
  updateUpstreams(Book, Usable);
  Flows.dispatchWaiting();
  EXPECT_TRUE(awaitAnswer("ran")) << Received;
  EXPECT_EQ(Server->requests(), 2);
}

// A caller sends a request again under the id that was refused. A copy of that
// refusal arrives while an engine runs the second one.
TEST_F(RequestFlowTest, IgnoresCopyOfRefusalOfAnEarlierRequestWithTheSameId) {
  const std::string Refusal = answer("503 Full\r\nid: r1\r\nnotrun: 1", "");
  ScriptedServer *Server = nullptr;
  Server = &addEngine(PlainService, [&](ScriptedConnection &To, int Number) {
    Server->connections().at(0)->send(Refusal);
    if (Number == 2)
      To.send(answer("200 OK\r\nid: r1\r\nseal: s", "ran"));
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("HTTP/1.1 503"));
  Received.clear();
  send("/unsafe/");
  EXPECT_TRUE(awaitAnswer("ran")) << Received;
  EXPECT_EQ(Server->requests(), 2);
}

// The instance that now has the address refuses what was meant for its
// predecessor. That is no sign of life of the predecessor or its group.
TEST_F(RequestFlowTest, CountsNoAnswerOfTheNextInstanceAtTheAddress) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("421 Wrong\r\nid: r1\r\nnotrun: 1", ""));
  });
  send("/unsafe/");
  const UpstreamState &Addressed = Book.Upstreams.begin()->second;
  ASSERT_TRUE(runUntil(
      Context, [&] { return Addressed.Avoid == AvoidReason::Refusing; }));
  EXPECT_EQ(Addressed.LastAnswerAt, TimePoint{});
}

// The copy of an answer says what its engine stated earlier.
TEST_F(RequestFlowTest, IgnoresNoticesInAnswersToOtherRequests) {
  addEngine(PlainService, [](ScriptedConnection &To, int Number) {
    if (Number == 1)
      To.send(answer("503 Full\r\nid: r0\r\nnotrun: 1\r\nquiet: 5000", ""));
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "A"));
  });
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "B"));
  });
  for (int Sent = 0; Sent < 2; ++Sent) {
    Received.clear();
    send("/unsafe/");
    EXPECT_TRUE(awaitAnswer("\r\n\r\nA")) << Received;
  }
}

class RequestFlowPromiseTest : public RequestFlowTest,
                               public testing::WithParamInterface<int> {};

// An engine fails with a status that promises callers that the request was not
// run, without stating so itself.
TEST_P(RequestFlowPromiseTest, GivesNoPromiseThatTheEngineHasNotGiven) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(
        answer(std::to_string(GetParam()) + " No\r\nid: r1\r\nseal: f", "why"));
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("\r\n\r\n"));
  EXPECT_TRUE(Received.starts_with("HTTP/1.1 502 ")) << Received;
  EXPECT_EQ(Received.find("seal: f"), std::string::npos) << Received;
}

INSTANTIATE_TEST_SUITE_P(Statuses, RequestFlowPromiseTest,
                         testing::Values(408, 429, 503));

TEST_F(RequestFlowTest, ForwardsEngineFailureUnchanged) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("500 Failed\r\nid: r1\r\nseal: f", "why"));
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("why"));
  EXPECT_NE(Received.find(" 500 "), std::string::npos);
  EXPECT_NE(Received.find("seal: f"), std::string::npos);
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
  for (const auto &Engine : Engines)
    Runs += Engine->requests();
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
  EXPECT_NE(Received.find("seal: one"), std::string::npos);
  EXPECT_EQ(Received.find("seal: two"), std::string::npos);
  EXPECT_EQ(Received.find("data: a"), Received.rfind("data: a"));
  EXPECT_NE(Received.find("id: 2\ndata: b\n\n"), std::string::npos);
}

// A stream that can't be continued must not look complete to the caller.
TEST_F(RequestFlowTest, AbortsStreamThatCannotBeResumed) {
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: one\r\n"
            "Transfer-Encoding: chunked\r\n\r\n");
    To.send(serializeChunk("id: 1\ndata: a\n\n"));
    To.reset();
  });
  send("/stream/");
  ASSERT_TRUE(runUntil(Context, [&] { return Closed; }));
  EXPECT_EQ(Received.find("0\r\n\r\n"), std::string::npos);
}

// Guards against requests that hang at a group which lost a member: the group's
// head goes on accepting requests, but none of them makes progress.
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

// Bytes that never complete an event must not fill the entry's memory.
TEST_F(RequestFlowTest, ResumesElsewhereWhenAnEventNeverEnds) {
  TimerSubscription SendTimer;
  addEngine(PoolService, [&](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 1\n\n"));
    SendTimer = Timers.every(
        milliseconds(1), [&To] { To.send(chunk(std::string(16'384, 'x'))); });
  });
  ScriptedServer &Second =
      addEngine(PoolService, [](ScriptedConnection &To, int) {
        To.send(StreamHead + chunk("id: 2\n\n") + std::string(LastChunk));
      });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("id: 2\n\n"));
  SendTimer.cancel();
  EXPECT_NE(Second.Heads[0].find("last: 1"), std::string::npos);
  EXPECT_EQ(Received.find("xxx"), std::string::npos);
  EXPECT_TRUE(runUntil(
      Context, [&] { return Engines[0]->connections()[0]->PeerClosed; }));
}

// Single bytes do not count as progress; only complete events do.
TEST_F(RequestFlowTest, MovesStreamAwayFromAnEngineThatSendsByteByByte) {
  TimerSubscription SendTimer;
  addEngine(PoolService, [&](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 1\n\n"));
    SendTimer = Timers.every(milliseconds(40), [&To] { To.send(chunk("x")); });
  });
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 2\n\n") + std::string(LastChunk));
  });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("id: 2\n\n"));
  SendTimer.cancel();
  EXPECT_EQ(Received.find('x'), std::string::npos);
}

// A slow stream is healthy as long as complete events arrive.
TEST_F(RequestFlowTest, KeepsASlowStreamThatSendsCompleteEvents) {
  int Sent = 0;
  TimerSubscription SendTimer;
  addEngine(PoolService, [&](ScriptedConnection &To, int) {
    To.send(StreamHead);
    SendTimer = Timers.every(milliseconds(100), [&To, &Sent, &SendTimer] {
      To.send(chunk("id: " + std::to_string(++Sent) + "\n\n"));
      if (Sent < 6)
        return;
      To.send(std::string(LastChunk));
      SendTimer.cancel();
    });
  });
  ScriptedServer &Second =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("0\r\n\r\n"));
  EXPECT_NE(Received.find("id: 6"), std::string::npos);
  EXPECT_EQ(Second.requests(), 0);
}

// An engine sends answers to other requests without end. The request may have
// run, and its caller is answered long before the deadline.
TEST_F(RequestFlowTest, FailsAfterTooManyAnswersToOtherRequests) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    for (int Number = 0; Number < 50; ++Number)
      To.send(answer("200 OK\r\nid: other\r\nseal: s", "wrong"));
  });
  TimePoint Start = Timers.now();
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("502"));
  EXPECT_LT(Timers.now() - Start, seconds(1));
  EXPECT_EQ(Received.find("wrong"), std::string::npos);
  EXPECT_EQ(Engines[0]->requests(), 1);
}

// The body of an answer to another request never ends: the connection is closed
// and the request fails.
TEST_F(RequestFlowTest, FailsWhenAnotherRequestsBodyNeverEnds) {
  TimerSubscription SendTimer;
  addEngine(PlainService, [&](ScriptedConnection &To, int) {
    To.send("HTTP/1.1 200 OK\r\nid: other\r\nseal: s\r\n\r\n");
    SendTimer = Timers.every(milliseconds(1),
                             [&To] { To.send(std::string(65'536, 'x')); });
  });
  send("/unsafe/");
  ASSERT_TRUE(awaitAnswer("502"));
  SendTimer.cancel();
  EXPECT_EQ(Engines[0]->requests(), 1);
}

// An engine that breaks off answers but lives on was crashed by nothing.
TEST_F(RequestFlowTest, BlamesNoPartForAnswersThatBreakOff) {
  for (int Added = 0; Added < 6; ++Added)
    addEngine(PoolService, [](ScriptedConnection &To, int) { To.reset(); });
  for (int Sent = 0; Sent < 3; ++Sent)
    EXPECT_TRUE(isAnswered("part: 7\r\n", 502));
  EXPECT_TRUE(Suspects.Crashes.empty());
  EXPECT_FALSE(blamedPart(Suspects, std::vector<PromptPart>{7}));
}

// The list names the next life of an engine before the crash of the earlier one
// is noticed. The crash isn't the next life's.
TEST_F(RequestFlowTest, AttributesCrashToTheLifeThatWasSentTheRequest) {
  ScriptedServer &Engine =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  Usable.back().BornMilliseconds = 1;
  updateUpstreams(Book, Usable);
  send("/stream/", "part: 7\r\n");
  ASSERT_TRUE(runUntil(Context, [&] { return Engine.requests() == 1; }));
  Usable.back().BornMilliseconds = 2;
  updateUpstreams(Book, Usable);
  Engine.crash();
  ASSERT_TRUE(runUntil(Context, [&] { return !Suspects.Crashes.empty(); }));
  EXPECT_TRUE(Suspects.Crashes.contains(crashId({InstanceId("i1"), 1})));
  EXPECT_FALSE(Suspects.Crashes.contains(crashId({InstanceId("i1"), 2})));
}

class RequestFlowUnusableTest
    : public RequestFlowTest,
      public testing::WithParamInterface<const char *> {};

// Guards against sound requests that are refused as crashing engines after
// unusable answers, for which this side closed the connection (BUDGET, LOST).
TEST_P(RequestFlowUnusableTest, CountsNoBreakOff) {
  for (int Added = 0; Added < 2; ++Added)
    addEngine(PoolService, [](ScriptedConnection &To, int) {
      std::string Bytes = GetParam();
      if (Bytes.ends_with("data: "))
        Bytes += std::string(300'000, 'x');
      To.send(Bytes);
    });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("HTTP/1.1") || Closed);
  ASSERT_TRUE(runUntil(Context, [this] { return Flows.activeCount() == 0; }));
  EXPECT_TRUE(Crashes.BreakOffs.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Answers, RequestFlowUnusableTest,
    testing::Values("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\n"
                    "data: ",
                    "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\n"
                    "no event\n\n",
                    "no answer\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: 8\r\n\r\n"
                    "unsealed"));

// An answer to another request ends the connection, which this side closes.
TEST_F(RequestFlowTest, CountsNoBreakOffWhenAnotherRequestsAnswerCloses) {
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r0\r\nseal: s\r\nConnection: close", ""));
  });
  send("/stream/");
  ASSERT_TRUE(awaitAnswer("HTTP/1.1 502")) << Received;
  EXPECT_TRUE(Crashes.BreakOffs.empty());
}

// What an engine in trouble sends, a head and then a piece again and again
// until the connection is closed.
struct EndlessBytes {
  const char *Name;
  std::string Head;
  std::string Piece;
};

std::ostream &operator<<(std::ostream &To, const EndlessBytes &Bytes) {
  return To << Bytes.Name;
}

const std::string Junk(16'384, '?');

const EndlessBytes AllEndlessBytes[] = {
    {"head", "HTTP/1.1 200 OK\r\n", "x: y\r\n" + Junk + ": y\r\n"},
    {"header line", "HTTP/1.1 200 OK\r\nx: ", Junk},
    {"chunk size line",
     "HTTP/1.1 500 X\r\nid: r1\r\nseal: s\r\nTransfer-Encoding: "
     "chunked\r\n\r\n1;",
     Junk},
    {"failure in chunks",
     "HTTP/1.1 500 X\r\nid: r1\r\nseal: s\r\nTransfer-Encoding: "
     "chunked\r\n\r\n",
     serializeChunk(Junk)},
    {"failure without length", "HTTP/1.1 500 X\r\nid: r1\r\nseal: s\r\n\r\n",
     Junk},
    {"success without seal", "HTTP/1.1 200 OK\r\nid: r1\r\n\r\n", Junk},
    {"event", "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\ndata: ", Junk},
    {"comments", "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\n",
     ":" + Junk + "\n\n"},
    {"answer to another request",
     "HTTP/1.1 200 OK\r\nid: r2\r\nseal: s\r\n\r\n", Junk},
};

class RequestFlowEndlessTest
    : public RequestFlowTest,
      public testing::WithParamInterface<EndlessBytes> {
protected:
  // Sends on all connections to engines in trouble.
  void sendPieces() {
    for (ScriptedConnection *Each : Endless) {
      if (!Each->PeerClosed)
        Each->sendSome(GetParam().Piece);
    }
  }

  std::vector<ScriptedConnection *> Endless;
  TimerSubscription PieceTimer;
};

// Guards against processes that run out of memory because engines send bytes
// that are no answer until the connection is closed (Fault). A request of its
// own at the sound engine goes on.
TEST_P(RequestFlowEndlessTest, EndsAttemptAndServesTheRequestElsewhere) {
  addEngine(PoolService, [this](ScriptedConnection &To, int) {
    To.send(GetParam().Head);
    Endless.push_back(&To);
  });
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "id: 1\ndata: x\n\n"));
  });
  Pool.bytes()->setLimit(1'000'000);
  PieceTimer = Timers.every(milliseconds(2), [this] { sendPieces(); });
  send("/stream/");
  EXPECT_TRUE(awaitAnswer("data: x"));
  ASSERT_EQ(Endless.size(), 1U);
  EXPECT_TRUE(
      runUntil(Context, [this] { return Endless.front()->PeerClosed; }));
  EXPECT_LT(Pool.bytes()->heldBytes(), 100'000U);
}

INSTANTIATE_TEST_SUITE_P(Forms, RequestFlowEndlessTest,
                         testing::ValuesIn(AllEndlessBytes));

// The request waits at the engine while others crash on the same part.
TEST_F(RequestFlowTest, EndsRequestThatEngineHasNotBegunWhenPartIsBlamed) {
  ScriptedServer &Engine =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  send("/stream/", "part: 7\r\n");
  ASSERT_TRUE(runUntil(Context, [&] { return Engine.requests() == 1; }));
  blame(7);
  EXPECT_TRUE(awaitAnswer("502")); // it may have run
  EXPECT_TRUE(runUntil(
      Context, [&] { return Engine.connections().front()->PeerClosed; }));
}

TEST_F(RequestFlowTest, SendsOneTrialWhichReleasesBlamedPart) {
  TimerSubscription EndTimer;
  ScriptedServer &Engine =
      addEngine(PoolService, [&](ScriptedConnection &To, int) {
        To.send(StreamHead + chunk("id: 1\ndata: a\n\n"));
        EndTimer = Timers.after(milliseconds(50),
                                [&To] { To.send(std::string(LastChunk)); });
      });
  blame(7);
  EXPECT_TRUE(isAnswered("part: 7\r\n", 503));
  EXPECT_EQ(Engine.requests(), 0);
  Suspects.Settings.TrialDelay = Duration::zero();
  EXPECT_TRUE(isAnswered("part: 7\r\n", 200));
  EXPECT_TRUE(awaitAnswer("\r\n0\r\n"));
  Suspects.Settings.TrialDelay = seconds(10);
  EXPECT_FALSE(blamedPart(Suspects, std::vector<PromptPart>{7}));
  EXPECT_TRUE(isAnswered("part: 7\r\n", 200));
}

// Guards against a success with an empty or short body for an answer that broke
// off, at any byte of its head or before its stated end.
TEST_F(RequestFlowTest, ForwardsNoAnswerThatBreaksOff) {
  const std::string Whole = answer("200 OK\r\nid: r1\r\nseal: s", "whole");
  for (std::size_t Size = 0; Size < Whole.size(); ++Size) {
    Usable.clear();
    Tested = Whole.substr(0, Size);
    addEngine(PlainService, [this](ScriptedConnection &To, int) {
      To.send(Tested);
      To.close();
    });
    Received.clear();
    Body += "x"; // or the request itself would be taken for the cause
    send("/unsafe/");
    ASSERT_TRUE(awaitAnswer("502")) << Tested;
    EXPECT_EQ(Received.find("200"), std::string::npos) << Tested;
  }
}

class RequestFlowStatusTest : public RequestFlowTest,
                              public testing::WithParamInterface<const char *> {
protected:
  // Has the engine that is chosen first answer with the tested status, and then
  // with a success on the same connection.
  RequestFlowStatusTest() {
    addEngine(PlainService, [](ScriptedConnection &To, int) {
      To.send("HTTP/1.1 " + std::string(GetParam()) +
              "\r\nid: r1\r\nseal: s\r\nContent-Length: 3\r\n\r\nodd");
      To.send(answer("200 OK\r\nid: r1\r\nseal: s", "late"));
    });
  }

  void expectAnswerAtOnce(const std::string &Part) {
    TimePoint Start = Timers.now();
    EXPECT_TRUE(awaitAnswer(Part)) << Received;
    EXPECT_LT(Timers.now() - Start, milliseconds(1'500)); // of 3 s
    EXPECT_EQ(Received.find("odd"), std::string::npos) << Received;
    EXPECT_EQ(Received.find("late"), std::string::npos) << Received;
  }
};

// Guards against callers that get an answer with an invalid status, or wait
// until their deadline for the answer after it (MIXED).
TEST_P(RequestFlowStatusTest, ServesElsewhereAtOnce) {
  addEngine(PlainService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
  });
  send("/safe/");
  expectAnswerAtOnce("\r\n\r\nsecond");
}

TEST_P(RequestFlowStatusTest, AnswersMayHaveRunAtOnce) {
  send("/unsafe/");
  expectAnswerAtOnce("HTTP/1.1 502");
}

INSTANTIATE_TEST_SUITE_P(Values, RequestFlowStatusTest,
                         testing::ValuesIn(UnusableStatuses));

// Guards against an answer that is passed on with a line that callers read as
// something else, or with a body that isn't the engine's (MIXED).
TEST_F(RequestFlowTest, ForwardsNoAnswerWithMalformedFieldName) {
  const std::string Ids = "\r\nid: r1\r\nseal: s";
  std::vector<std::string> Answers;
  for (const std::string &Line : linesWithMalformedNames()) {
    for (const std::string Status : {"200 OK", "500 Failed"}) {
      Answers.push_back(answer(Status + Ids + "\r\n" + Line, "odd"));
      Answers.push_back(answer(Status + "\r\n" + Line + Ids, "odd"));
    }
    Answers.push_back("HTTP/1.1 103 Early\r\n" + Line + "\r\n\r\n" +
                      answer("200 OK" + Ids, "odd"));
  }
  Answers.push_back(answer("200 OK\r\n X-Own: 1" + Ids, "odd"));
  for (const std::string &Each : Answers) {
    Usable.clear();
    Tested = Each;
    addEngine(PlainService,
              [this](ScriptedConnection &To, int) { To.send(Tested); });
    Received.clear();
    Body += "x"; // or the request itself would be taken for the cause
    send("/unsafe/");
    ASSERT_TRUE(awaitAnswer("HTTP/1.1 502")) << Tested << Received;
    EXPECT_EQ(Received.find("Own"), std::string::npos) << Tested;
    EXPECT_EQ(Received.find("odd"), std::string::npos) << Tested;
  }
}

// Trailers aren't passed on, so that their names can't do harm.
TEST_F(RequestFlowTest, ForwardsNoTrailerWithMalformedName) {
  for (const std::string &Line : linesWithMalformedNames()) {
    Usable.clear();
    Tested = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n"
             "Transfer-Encoding: chunked\r\n\r\n" +
             serializeChunk("whole") + "0\r\n" + Line + "\r\n\r\n";
    addEngine(PlainService,
              [this](ScriptedConnection &To, int) { To.send(Tested); });
    Received.clear();
    Body += "x"; // or the request itself would be taken for the cause
    send("/unsafe/");
    ASSERT_TRUE(awaitAnswer("\r\n\r\n")) << Tested;
    EXPECT_EQ(Received.find("Own"), std::string::npos) << Received;
    EXPECT_TRUE(Received.starts_with("HTTP/1.1 502") ||
                Received.ends_with("\r\n\r\nwhole"))
        << Tested << Received;
  }
}

// The engine resets the connection while the upload is being written.
class RequestFlowUploadTest : public RequestFlowTest {
protected:
  // Sends a request whose body is too long to be written at once.
  void upload(const std::string &Path) {
    configure();
    Upload = "POST " + Path +
             "1 HTTP/1.1\r\nHost: h\r\nid: r1\r\n"
             "Content-Length: 4000000\r\n\r\n" +
             std::string(4'000'000, 'x');
    asio::async_write(Client, asio::buffer(Upload),
                      [](std::error_code Failed, std::size_t) {
                        EXPECT_FALSE(Failed) << Failed.message();
                      });
    readMore();
  }

  void addEngineThatResets(const ServiceId &Service, const std::string &Part) {
    addEngine(
        Service,
        [this, Part](ScriptedConnection &To, int) {
          To.send("HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\n" + Part);
          ResetTimer = Timers.after(milliseconds(20), [&To] { To.reset(); });
        },
        RequestReading::None);
  }

  TimerSubscription ResetTimer;
  std::string Upload;
};

TEST_F(RequestFlowUploadTest, ServesElsewhereWhenAnswerIsCut) {
  addEngineThatResets(PlainService, "part");
  addEngine(
      PlainService,
      [](ScriptedConnection &To, int) {
        To.send(answer("200 OK\r\nid: r1\r\nseal: s", "second"));
      },
      RequestReading::None);
  upload("/safe/");
  EXPECT_TRUE(awaitAnswer("\r\n\r\nsecond")) << Received;
  EXPECT_EQ(Received.find("part"), std::string::npos) << Received;
}

TEST_F(RequestFlowUploadTest, AnswersMayHaveRunWhenAnswerIsCut) {
  addEngineThatResets(PlainService, "part");
  upload("/unsafe/");
  EXPECT_TRUE(awaitAnswer("HTTP/1.1 502")) << Received;
  EXPECT_EQ(Received.find("part"), std::string::npos) << Received;
}

TEST_F(RequestFlowUploadTest, AbortsStreamThatIsCut) {
  Routes.back().Resumable = false;
  addEngineThatResets(PoolService, "id: 1\ndata: a\n\n");
  upload("/stream/");
  EXPECT_TRUE(runUntil(Context, [this] { return Closed; }));
  EXPECT_NE(Received.find("data: a"), std::string::npos) << Received;
  EXPECT_EQ(Received.find("\r\n0\r\n"), std::string::npos) << Received;
}

// What an engine answers in place of the rest of a stream.
struct StreamCase {
  const char *Name;
  std::string Answer;
  bool Close = false; // closes in order; otherwise with a reset
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
     answer("200 OK\r\nid: r1\r\nseal: s", "id: 2\ndata: odd text")},
    {"PartOfAnEventInChunks", std::string(StreamHead) +
                                  chunk("id: 2\ndata: odd text") +
                                  std::string(LastChunk)},
    {"LineOfAnEvent",
     answer("200 OK\r\nid: r1\r\nseal: s", "id: 2\ndata: odd text\n")},
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
  static void sendAnswer(ScriptedConnection &To) {
    To.send(GetParam().Answer);
    if (GetParam().Close)
      To.close();
    else
      To.reset();
  }

  static void beginStreamAndReset(ScriptedConnection &To) {
    To.send(StreamHead + chunk("id: 1\ndata: a\n\n"));
    To.reset();
  }

  // Checks that the caller has received complete events only, and no end of the
  // stream that looks complete.
  void expectAborted() {
    ASSERT_TRUE(runUntil(Context, [&] { return Closed; })) << Received;
    EXPECT_NE(Received.find("id: 1\ndata: a\n\n"), std::string::npos)
        << Received;
    EXPECT_EQ(Received.find("odd text"), std::string::npos) << Received;
    EXPECT_EQ(Received.find("HTTP/1.1", 1), std::string::npos) << Received;
    EXPECT_EQ(Received.find("\r\n0\r\n"), std::string::npos) << Received;
  }
};

// A stream breaks after its first event, and the next engine answers with
// something that is not the rest of the stream.
TEST_P(RequestFlowStreamTest, ForwardsNoErrorIntoAStartedStream) {
  addEngine(PoolService,
            [](ScriptedConnection &To, int) { beginStreamAndReset(To); });
  addEngine(PoolService, [](ScriptedConnection &To, int) { sendAnswer(To); });
  send("/stream/");
  expectAborted();
}

TEST_P(RequestFlowStreamTest, ResumesFromAThirdEngine) {
  Routes.back().MaxAttempts = 3;
  addEngine(PoolService,
            [](ScriptedConnection &To, int) { beginStreamAndReset(To); });
  addEngine(PoolService, [](ScriptedConnection &To, int) { sendAnswer(To); });
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(StreamHead + chunk("id: 2\ndata: b\n\n") + std::string(LastChunk));
  });
  send("/stream/");
  bool Complete = awaitAnswer("\r\n0\r\n");
  if (!Complete)
    return expectAborted();
  EXPECT_NE(Received.find("id: 1\ndata: a\n\n"), std::string::npos) << Received;
  EXPECT_NE(Received.find("id: 2\ndata: b\n\n"), std::string::npos) << Received;
  EXPECT_EQ(Received.find("odd text"), std::string::npos) << Received;
}

// Before the first event the caller gets the engine's complete answer, a
// failure, or a closed connection. Chunks are used for streams only.
TEST_P(RequestFlowStreamTest, StartsNoStreamThatLooksComplete) {
  Routes.back().Resumable = false;
  addEngine(PoolService, [](ScriptedConnection &To, int) { sendAnswer(To); });
  send("/stream/");
  runUntil(Context, [&] { return Closed || Flows.activeCount() == 0; });
  awaitAnswer("\r\n\r\n");
  EXPECT_EQ(Received.find("\r\n0\r\n"), std::string::npos) << Received;
  EXPECT_EQ(Received.find("HTTP/1.1", 1), std::string::npos) << Received;
}

INSTANTIATE_TEST_SUITE_P(Answers, RequestFlowStreamTest,
                         testing::ValuesIn(StreamCases),
                         [](const auto &Info) { return Info.param.Name; });

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
  EXPECT_NE(Received.find(" 503 "), std::string::npos);
}

TEST_F(RequestFlowTest, RefusesOnceItsObjectiveCannotBeMet) {
  ScriptedServer &Engine =
      addEngine(PoolService, [](ScriptedConnection &, int) {});
  Book.Upstreams.begin()->second.PeerLoad.Running = 4;
  addRoute("/urgent/", RequestKind::Stream, PoolService, true);
  Routes.back().Objective = milliseconds(200);
  TimePoint Start = Timers.now();
  send("/urgent/");
  ASSERT_TRUE(awaitAnswer("HTTP/1.1 503"));
  EXPECT_TRUE(awaitAnswer("retry: yes"));
  EXPECT_LT(Timers.now() - Start, milliseconds(600)); // of 3 s left
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

// The last free place goes to an organisation that waits at another entry.
TEST_F(RequestFlowTest, LeavesAPlaceToOrganisationsThatWaitElsewhere) {
  Flows.shares().Use = ShareUse::Always;
  ScriptedServer &Engine =
      addEngine(PoolService, [](ScriptedConnection &To, int) {
        To.send(answer("200 OK\r\nid: r1\r\nseal: s", "id: 1\ndata: x\n\n"));
      });
  Book.Upstreams.begin()->second.PeerLoad.Running = 3; // of 4 slots
  ServiceModel Kind{PoolService, "large"};
  setWorkOfOthers(Flows.shares(),
                  {{Kind,
                    {{{5, OrganisationId()}, {3, 4, 7.0}},
                     {{5, OrganisationId("small")}, {0, 2, 2.0}}}}});
  send("/stream/");
  runUntil(Context, [&] { return Flows.activeCount() == 1; });
  Flows.dispatchWaiting();
  EXPECT_EQ(Engine.requests(), 0);
  WorkByClaim Own = claimedWork(Flows.shares(), Timers.now(), Metrics)[Kind];
  EXPECT_EQ(Own[(ClaimKey{5, OrganisationId()})].Waiting, 1);
  EXPECT_NE(Metrics.text().find("samphirehill_organisation_held_back_total"
                                "{organisation=\"anonymous\"} 1"),
            std::string::npos);
  setWorkOfOthers(Flows.shares(), {});
  Flows.dispatchWaiting();
  EXPECT_TRUE(awaitAnswer("data: x"));
  Own = claimedWork(Flows.shares(), Timers.now(), Metrics)[Kind];
  EXPECT_EQ(Own[(ClaimKey{5, OrganisationId()})].Waiting, 0);
}

// A caller that was refused before returns with less time than it first had.
TEST_F(RequestFlowTest, ReportsNoLateRequestAsWaitingForItsShare) {
  Flows.shares().Use = ShareUse::Always;
  addEngine(PoolService, [](ScriptedConnection &To, int) {
    To.send(answer("200 OK\r\nid: r1\r\nseal: s", "id: 1\ndata: x\n\n"));
  });
  addRoute("/urgent/", RequestKind::Stream, PoolService, true);
  Routes.back().Objective = milliseconds(200);
  send("/urgent/");
  ASSERT_TRUE(awaitAnswer("data: x"));
  Book.Upstreams.begin()->second.PeerLoad.Running = 4;
  ServiceModel Kind{PoolService, "large"};
  ClaimKey Key{5, OrganisationId()};
  auto Waiting = [&](Duration Timeout) {
    Routes.back().Timeout = Timeout;
    send("/urgent/");
    runUntil(Context, [&] { return Flows.activeCount() == 1; });
    int Count =
        claimedWork(Flows.shares(), Timers.now(), Metrics)[Kind][Key].Waiting;
    runUntil(Context, [&] { return Flows.activeCount() == 0; });
    return Count;
  };
  EXPECT_EQ(Waiting(seconds(3)), 1);
  EXPECT_EQ(Waiting(seconds(2)), 0);
}

TEST_F(RequestFlowTest, RefusesUnknownRouteAndKey) {
  Routes[0].Anonymous = false;
  addEngine(PlainService, [](ScriptedConnection &, int) {});
  send("/nowhere/");
  EXPECT_TRUE(awaitAnswer(" 404 "));
  send("/safe/");
  EXPECT_TRUE(awaitAnswer(" 401 "));
}

// Guards against requests of one kind, no two alike, that crash one engine
// after the other.
TEST_F(RequestFlowTest, RefusesPartThatCrashesEngines) {
  addCrashingEngines(3);
  ScriptedServer &Last =
      addEngine(PoolService, [](ScriptedConnection &To, int) {
        To.send(answer("200 OK\r\nid: r1\r\nseal: s", "id: 1\ndata: a\n\n"));
      });
  EXPECT_TRUE(isAnswered("part: 7\r\n", 502)); // crashes two engines
  EXPECT_TRUE(isAnswered("part: 7\r\n", 502)); // crashes the third one
  EXPECT_TRUE(isAnswered("part: 7\r\n", 503));
  EXPECT_EQ(Last.requests(), 0);
  EXPECT_TRUE(isAnswered("part: 8\r\n", 200));
  EXPECT_EQ(Last.requests(), 1);
}

} // namespace
} // namespace samphirehill::serving

#include "standin-service/Service.h"

#include "Standins/StandinFixture.h"

namespace samphirehill::standin {
namespace {

class ServiceTest : public StandinFixture {
protected:
  ServiceTest() {
    serve(
        [this](const auto &From, const auto &To) { Served.handle(From, To); });
  }

  int book(const std::string &RequestId, const std::string &Key) {
    return status(
        call("POST", "/actions/book", Json::object(),
             {{"X-Request-Id", RequestId}, {"Idempotency-Key", Key}}));
  }

  Service Served{Io, {"s1", 1, 64}};
};

// Guards against a stand-in that hides doubled bookings by its own care for
// idempotency keys, and against one that misses lost ones.
TEST_F(ServiceTest, CountsExecutionsUnderFaults) {
  struct Row {
    Json Faults;
    int Status;
    int Executions;
  };
  int Number = 0;
  for (const Row &Case :
       {Row{Json::object(), 200, 1}, Row{{{"loseAnswers", 1}}, 0, 1},
        Row{{{"loseRequests", 1}}, 0, 0}, Row{{{"fail", 1}}, 500, 1},
        Row{{{"refuse", 1}}, 503, 0}}) {
    SCOPED_TRACE(Case.Faults.dump());
    int Before = body(call("GET", "/control/executions"))["count"];
    setFaults(Case.Faults);
    std::string Id = "a." + std::to_string(++Number);
    EXPECT_EQ(book(Id, "key" + Id), Case.Status);
    int After = body(call("GET", "/control/executions"))["count"];
    EXPECT_EQ(After - Before, Case.Executions);
  }
}

TEST_F(ServiceTest, ShowsDoubledKeysAndRequestIds) {
  book("a.1", "k1");
  book("a.2", "k1");
  book("a.2", "k2");
  Json Executions = body(call("GET", "/control/executions"));
  EXPECT_EQ(Executions["doubledKeys"], Json({{"k1", 2}}));
  EXPECT_EQ(Executions["doubledRequestIds"], Json({{"a.2", 2}}));
}

} // namespace
} // namespace samphirehill::standin

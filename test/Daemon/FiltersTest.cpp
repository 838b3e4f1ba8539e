#include "samphirehill/Daemon/Filters.h"

#include "Daemon/FakeExchange.h"
#include "Daemon/Texts.h"

#include <gtest/gtest.h>

#include <ostream>

namespace samphirehill::test {
namespace {

constexpr TimePoint Now{seconds(1000)};

struct FilterCase {
  std::string Name;
  std::string Method = "POST";
  std::string Path = "/v1/completions";
  HttpHeaders Headers = {{"Authorization", "Bearer key-few"}};
  std::string Body = R"({"model":"notes-70b","prompt":"lamp"})";
  ResultCode Expected = ResultCode::Ok; // Ok: passed on
};

std::ostream &operator<<(std::ostream &Stream, const FilterCase &Value) {
  return Stream << Value.Name;
}

HttpHeaders with(const std::string &Name, const std::string &Value) {
  return {{"Authorization", "Bearer key-few"}, {Name, Value}};
}

class FiltersTest : public testing::TestWithParam<FilterCase> {
protected:
  FiltersTest() { Texts.put(textOf(sampleFields()), 1); }

  // Runs the filters in the order of the request path.
  std::optional<Refusal> filter(RequestContext &Request) {
    if (auto Refused = parseRequest(Request, Config))
      return Refused;
    if (auto Refused = authenticate(Request, Texts))
      return Refused;
    if (auto Refused = resolve(Request, Config))
      return Refused;
    return checkCrashes(Request, Suspects, Now);
  }
  static RequestContext requestOf(const FilterCase &Case) {
    RequestContext Request;
    Request.Exchange = std::make_shared<FakeExchange>(Case.Method, Case.Path,
                                                      Case.Headers, Case.Body);
    Request.Arrived = Now;
    return Request;
  }

  Settings Config;
  Catalogue Texts;
  CrashSuspects Suspects;
};

// Guards against a request that is refused for the wrong reason or passed on
// wrongly, and against a refusal that does not say `not run`.
TEST_P(FiltersTest, RefusesByTable) {
  RequestContext Request = requestOf(GetParam());
  std::optional<Refusal> Refused = filter(Request);
  if (GetParam().Expected == ResultCode::Ok) {
    EXPECT_FALSE(Refused) << Refused->Failure.Message;
    return;
  }
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Failure.Code, GetParam().Expected);
  EXPECT_EQ(runState(Refused->Failure.Code), RunState::NotRun);
  EXPECT_FALSE(Refused->Failure.Message.empty());
}

using Code = ResultCode;
// A body with no fault, so that only the header is refused.
const std::string Whole = R"({"model":"notes-70b","prompt":"lamp"})";
const std::string Booking = "/services/booking/bookings/7";
const HttpHeaders All = {{"Authorization", "Bearer key-all"}};
const HttpHeaders AllWithKey = {{"Authorization", "Bearer key-all"},
                                {"Idempotency-Key", "k"}};

INSTANTIATE_TEST_SUITE_P(
    Faults, FiltersTest,
    testing::Values(
        FilterCase{"Whole"}, FilterCase{"Models", "GET", "/v1/models"},
        FilterCase{"IssuedKey", "POST", "/v1/idempotency-keys"},
        FilterCase{"LongHeader", "POST", "/v1/completions",
                   with("X-Note", std::string(16'384, 'a')), "{}",
                   Code::HeaderTooLarge},
        FilterCase{"LongBody", "POST", "/v1/completions", All,
                   std::string(1'048'577, ' '), Code::BodyTooLarge},
        FilterCase{"NoKey", "GET", "/v1/models", {}, "", Code::Unauthenticated},
        FilterCase{"OtherScheme",
                   "GET",
                   "/v1/models",
                   {{"Authorization", "Basic key-few"}},
                   "",
                   Code::Unauthenticated},
        FilterCase{"UnknownKey",
                   "GET",
                   "/v1/models",
                   {{"Authorization", "Bearer key"}},
                   "",
                   Code::Unauthenticated},
        FilterCase{"UnknownPath", "GET", "/v2/models", All, "",
                   Code::UnknownService},
        FilterCase{"WrongMethod", "POST", "/v1/models", All, "",
                   Code::UnknownService},
        FilterCase{"BrokenJson", "POST", "/v1/completions", All, "{",
                   Code::BadRequest},
        FilterCase{"Priority", "POST", "/v1/completions",
                   with("X-Priority", "urgent"), Whole, Code::BadRequest},
        FilterCase{"ZeroDeadline", "POST", "/v1/completions",
                   with("X-Deadline-Ms", "0"), Whole, Code::BadRequest},
        FilterCase{"DeadlineWithUnit", "POST", "/v1/completions",
                   with("X-Deadline-Ms", "30s"), Whole, Code::BadRequest},
        FilterCase{"LongIdempotencyKey", "POST", "/v1/completions",
                   with("Idempotency-Key", std::string(257, 'k')), Whole,
                   Code::BadRequest},
        FilterCase{"ModelOfOthers",
                   "POST",
                   "/v1/completions",
                   {{"Authorization", "Bearer key-few"}},
                   R"({"model":"faults-7b","prompt":"lamp"})",
                   Code::UnknownService},
        FilterCase{"ServiceOfOthers",
                   "GET",
                   Booking,
                   {{"Authorization", "Bearer key-few"}},
                   "",
                   Code::UnknownService},
        FilterCase{"ModelAsService", "GET", "/services/notes/x", All, "",
                   Code::UnknownService},
        FilterCase{"Read", "GET", Booking, All, ""},
        FilterCase{"BookingWithoutKey", "POST", Booking, All, "",
                   Code::MissingIdempotencyKey},
        FilterCase{"BookingWithOtherSpelling", "POST",
                   "/services/booking//%62ookings/7", All, "",
                   Code::MissingIdempotencyKey},
        FilterCase{"BookingWithKey", "POST", Booking, AllWithKey, ""}),
    [](const auto &Info) { return Info.param.Name; });

// Guards against a caller that holds credits beyond the text's longest
// deadline, which is the drain time of a dead entry.
TEST_F(FiltersTest, BoundsDeadlineByText) {
  for (auto [Asked, Expected] :
       {std::pair{"600000", seconds(120)}, std::pair{"5000", seconds(5)}}) {
    FilterCase Case{"Deadline"};
    Case.Headers = with("X-Deadline-Ms", Asked);
    RequestContext Request = requestOf(Case);
    ASSERT_FALSE(filter(Request));
    EXPECT_EQ(Request.Deadline, Now + Expected);
  }
  RequestContext Request = requestOf(FilterCase{"NoDeadline"});
  ASSERT_FALSE(filter(Request));
  EXPECT_EQ(Request.Deadline, Now + Config.DefaultDeadline);
}

// Guards against a crashing request that is passed on, and against refusing the
// same body of another organisation.
TEST_F(FiltersTest, RefusesRequestOfTwoCrashes) {
  FilterCase Case{"Crasher"};
  Fingerprint Print = requestFingerprint(OrganisationId("few"), Case.Body);
  for (int I = 1; I <= 2; ++I) {
    std::string Number = std::to_string(I);
    recordCrash(Suspects,
                {{UpstreamId("u" + Number), BootId("b")},
                 DomainId("d" + Number),
                 {},
                 {{Print, milliseconds(100)}}},
                Now - seconds(10) + seconds(3 * I));
    RequestContext Request = requestOf(Case);
    std::optional<Refusal> Refused = filter(Request);
    if (I == 1) {
      EXPECT_FALSE(Refused);
      EXPECT_TRUE(Request.Suspect);
      continue;
    }
    ASSERT_TRUE(Refused);
    EXPECT_EQ(Refused->Failure.Code, ResultCode::CrashesUpstreams);
    EXPECT_EQ(runState(Refused->Failure.Code), RunState::NotRun);
    EXPECT_GT(Refused->RetryAfter, seconds(500));
  }
  Case.Headers = All;
  RequestContext Request = requestOf(Case);
  EXPECT_FALSE(filter(Request));
}

// Guards against a refusal without the headers by which a caller decides
// whether to send again.
TEST(RefuseTest, SendsCodeRunStateAndRoundedRetryAfter) {
  auto Exchange = std::make_shared<FakeExchange>("GET", "/v1/models");
  RequestContext Request;
  Request.Exchange = Exchange;
  Request.Id = RequestId("e.1.1");
  refuse(Request, Error{ResultCode::Overloaded, "busy"}, milliseconds(1001));
  EXPECT_EQ(Exchange->Status, 429);
  EXPECT_EQ(findHeader(Exchange->Answered, "Samphirehill-Result"), "1010");
  EXPECT_EQ(findHeader(Exchange->Answered, "Samphirehill-Run"), "not run");
  EXPECT_EQ(findHeader(Exchange->Answered, "Retry-After"), "2");
  EXPECT_EQ(findHeader(Exchange->Answered, "X-Request-Id"), "e.1.1");
}

} // namespace
} // namespace samphirehill::test

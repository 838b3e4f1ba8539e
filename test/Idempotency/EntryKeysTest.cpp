#include "samphirehill/Idempotency/EntryKeys.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

const OrganisationId Org("lumen");
const std::string Nonce(16, 'n');
constexpr TimePoint Start{seconds(50)};
constexpr TimePoint Late = Start + seconds(100);

EntryKeys makeKeys(Incarnation Number = 7, std::size_t MaxRecords = 4) {
  EntryKeySettings Settings;
  Settings.Self = EntryId("e1.zone-a");
  Settings.SelfIncarnation = Number;
  Settings.Secret = std::string(32, 's');
  Settings.MaxRecords = MaxRecords;
  return EntryKeys(Settings);
}

ResultCode codeOf(const EntryKeys &Keys, const OrganisationId &Organisation,
                  const std::string &Key, TimePoint Now) {
  auto Checked =
      capture([&] { return checkEntryKey(Keys, Organisation, Key, Now); });
  const Error *Failure = errorOf(Checked);
  return Failure ? Failure->Code : ResultCode::Ok;
}

std::vector<KeyAction> use(EntryKeys &Keys, const std::string &Key,
                           const char *Request, std::uint64_t Body = 1,
                           TimePoint Now = Start) {
  return useEntryKey(Keys, Org, Key, RequestId(Request), Body, Late, Now);
}

ResultCode refusalOf(const std::vector<KeyAction> &Actions) {
  const auto *Refusal =
      Actions.size() == 1 ? std::get_if<AnswerRefusal>(&Actions[0]) : nullptr;
  return Refusal ? Refusal->Code : ResultCode::Ok;
}

// Guards against accepting a key that is forged, malformed or expired, or that
// was issued to another organisation or by an earlier process.
TEST(EntryKeysTest, AcceptsOnlyUnexpiredKeysOfSameIssuerAndOrganisation) {
  EntryKeys Keys = makeKeys();
  std::string Key = issueEntryKey(Keys, Org, Nonce, Start);
  std::string Forged = Key;
  Forged.back() = Forged.back() == '0' ? '1' : '0';
  struct Case {
    const char *Name;
    std::string Key;
    OrganisationId Organisation;
    Incarnation Issuer;
    TimePoint Now;
    ResultCode Code;
  };
  const TimePoint Expiry = Start + seconds(86'400);
  const Case Cases[] = {
      {"valid", Key, Org, 7, Start, ResultCode::Ok},
      {"last instant", Key, Org, 7, Expiry - Duration(1), ResultCode::Ok},
      {"expired", Key, Org, 7, Expiry, ResultCode::OutcomeUnknown},
      {"forged", Forged, Org, 7, Start, ResultCode::BadRequest},
      {"other organisation", Key, OrganisationId("zarqa"), 7, Start,
       ResultCode::BadRequest},
      {"new process", Key, Org, 8, Start, ResultCode::KeyOwnerGone},
      {"truncated", Key.substr(0, 20), Org, 7, Start, ResultCode::BadRequest},
      {"not a number", "sk1.e.x.1.00.00", Org, 7, Start,
       ResultCode::BadRequest},
      {"empty", "", Org, 7, Start, ResultCode::BadRequest}};
  for (const Case &Case : Cases)
    EXPECT_EQ(
        codeOf(makeKeys(Case.Issuer), Case.Organisation, Case.Key, Case.Now),
        Case.Code)
        << Case.Name;
  auto Address = capture([&] { return parseEntryKey(Key); });
  EXPECT_EQ(std::get<0>(Address), (EntryKeyAddress{EntryId("e1.zone-a"), 7}));
}

// Guards against a second call for a key, and against a resend that gets no
// answer or another answer than the first request.
TEST(EntryKeysTest, SendsOnceAndReplaysOutcome) {
  EntryKeys Keys = makeKeys();
  std::string Key = issueEntryKey(Keys, Org, Nonce, Start);
  EXPECT_EQ(use(Keys, Key, "r1"),
            (std::vector<KeyAction>{SendCall{RequestId("r1"), 1}}));
  EXPECT_TRUE(use(Keys, Key, "r2").empty());
  EXPECT_EQ(refusalOf(use(Keys, Key, "r3", 2)),
            ResultCode::IdempotencyKeyMismatch);
  CallOutcome Outcome{201, "text/plain", "booked"};
  EXPECT_EQ(
      endEntryKeyCall(Keys, 1, CallAnswered{Outcome}),
      (std::vector<KeyAction>{AnswerOutcome{RequestId("r1"), Outcome, false},
                              AnswerOutcome{RequestId("r2"), Outcome, true}}));
  EXPECT_EQ(
      use(Keys, Key, "r4"),
      (std::vector<KeyAction>{AnswerOutcome{RequestId("r4"), Outcome, true}}));
}

// Guards against running a key again after a call with an unknown outcome, and
// against refusing a key whose call was not run.
TEST(EntryKeysTest, KeepsRecordUnlessCallDidNotRun) {
  EntryKeys Keys = makeKeys();
  std::string Key = issueEntryKey(Keys, Org, Nonce, Start);
  use(Keys, Key, "r1");
  EXPECT_EQ(refusalOf(endEntryKeyCall(Keys, 1, CallNotRun{})),
            ResultCode::UpstreamRefused);
  EXPECT_TRUE(Keys.Expiries.empty());
  use(Keys, Key, "r2");
  EXPECT_EQ(refusalOf(endEntryKeyCall(Keys, 2, CallUnknown{})),
            ResultCode::UpstreamLost);
  EXPECT_EQ(refusalOf(use(Keys, Key, "r3")), ResultCode::OutcomeUnknown);
}

// Guards against unbounded memory, and against dropping an unexpired record to
// make space for a new one.
TEST(EntryKeysTest, RefusesNewKeysWhenFullAndDropsExpired) {
  EntryKeys Keys = makeKeys(7, 1);
  std::string First = issueEntryKey(Keys, Org, Nonce, Start);
  std::string Second =
      issueEntryKey(Keys, Org, std::string(16, 'm'), Start + seconds(10));
  use(Keys, First, "r1");
  endEntryKeyCall(Keys, 1, CallAnswered{CallOutcome{200, "", "x"}});
  EXPECT_EQ(refusalOf(use(Keys, Second, "r2")), ResultCode::RecordShardFull);
  tickEntryKeys(Keys, Start + seconds(86'400));
  EXPECT_TRUE(Keys.Records.empty());
  EXPECT_EQ(Keys.BodyBytes, 0u);
}

// Guards against a resend that gets no answer at its deadline.
TEST(EntryKeysTest, AnswersWaiterAtDeadline) {
  EntryKeys Keys = makeKeys();
  std::string Key = issueEntryKey(Keys, Org, Nonce, Start);
  use(Keys, Key, "r1");
  dropEntryKeyWaiter(Keys, RequestId("r1"));
  use(Keys, Key, "r2");
  EXPECT_EQ(refusalOf(tickEntryKeys(Keys, Late)), ResultCode::DeadlineExceeded);
  EXPECT_TRUE(endEntryKeyCall(Keys, 1, CallAnswered{CallOutcome{200, "", "x"}})
                  .empty());
}

} // namespace
} // namespace samphirehill

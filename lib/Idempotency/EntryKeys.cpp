#include "samphirehill/Idempotency/EntryKeys.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace samphirehill {
namespace {

constexpr std::string_view KeyPrefix = "sk1.";
constexpr std::size_t MacBytes = 16; // the first of the HMAC's 32 bytes

// The parts of a key. Signed is the text before the dot and the MAC.
struct KeyParts {
  EntryKeyAddress Address;
  std::int64_t IssuedAt = 0; // microseconds of the issuer's monotonic clock
  std::string_view Signed;
  std::string_view Mac;
};

std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (unsigned char Byte : Bytes) {
    Text.push_back(Digits[Byte >> 4]);
    Text.push_back(Digits[Byte & 15]);
  }
  return Text;
}

std::string macOf(const EntryKeys &Keys, const OrganisationId &Organisation,
                  std::string_view Signed) {
  // A key contains no line feed, so no other pair of key and organisation gives
  // the same bytes.
  std::string Bytes(Signed);
  Bytes.append("\n").append(Organisation.str());
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Keys.Settings.Secret.data(),
       static_cast<int>(Keys.Settings.Secret.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       Mac.data(), &Size);
  return toHex({reinterpret_cast<const char *>(Mac.data()), MacBytes});
}

template <typename T> bool parseNumber(std::string_view Text, T &Value) {
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Value);
  return !Text.empty() && Code == std::errc() && Last == End;
}

// Splits Text at its dots, from the right because entry ids may contain dots.
// Returns nullopt if Text is not of the form of a key.
std::optional<KeyParts> splitKey(std::string_view Text) {
  constexpr std::size_t MaxKeyBytes = 512;
  if (!isEntryKey(Text) || Text.size() > MaxKeyBytes ||
      Text.find('\n') != std::string_view::npos)
    return std::nullopt;
  KeyParts Parts;
  std::string_view Rest = Text;
  std::array<std::string_view, 4> Fields; // mac, nonce, issued, incarnation
  for (std::string_view &Field : Fields) {
    std::size_t Dot = Rest.rfind('.');
    if (Dot == std::string_view::npos || Dot < KeyPrefix.size())
      return std::nullopt;
    Field = Rest.substr(Dot + 1);
    Rest = Rest.substr(0, Dot);
  }
  Parts.Mac = Fields[0];
  Parts.Signed = Text.substr(0, Text.size() - Parts.Mac.size() - 1);
  Parts.Address.Entry = EntryId(std::string(Rest.substr(KeyPrefix.size())));
  if (Parts.Address.Entry.empty() || !parseNumber(Fields[2], Parts.IssuedAt) ||
      !parseNumber(Fields[3], Parts.Address.Issuer))
    return std::nullopt;
  return Parts;
}

AnswerRefusal deadlineRefusal(const RequestId &Request) {
  return AnswerRefusal{Request, ResultCode::DeadlineExceeded,
                       "the call was sent and has not ended by the deadline"};
}

// Drops the expired records. A record whose call still runs is kept and checked
// again after a minute.
void dropExpired(EntryKeys &Keys, TimePoint Now) {
  while (!Keys.Expiries.empty() && Keys.Expiries.begin()->first <= Now) {
    auto Found = Keys.Records.find(Keys.Expiries.begin()->second);
    Keys.Expiries.erase(Keys.Expiries.begin());
    if (Found == Keys.Records.end() || Found->second.ExpiresAt > Now)
      continue;
    if (Found->second.Running) {
      Found->second.ExpiresAt = Now + seconds(60);
      Keys.Expiries.emplace(Found->second.ExpiresAt, Found->first);
      continue;
    }
    if (Found->second.Outcome)
      Keys.BodyBytes -= Found->second.Outcome->Body.size();
    Keys.Records.erase(Found);
  }
}

} // namespace

bool isEntryKey(std::string_view Text) { return Text.starts_with(KeyPrefix); }

Result<EntryKeyAddress> parseEntryKey(std::string_view Text) {
  std::optional<KeyParts> Parts = splitKey(Text);
  if (!Parts)
    return fail(ResultCode::BadRequest,
                "the idempotency key begins with sk1. but is not of the form "
                "sk1.<entry>.<incarnation>.<issued>.<nonce>.<mac>");
  return Parts->Address;
}

std::string issueEntryKey(const EntryKeys &Keys,
                          const OrganisationId &Organisation,
                          std::string_view Nonce, TimePoint Now) {
  std::string Key(KeyPrefix);
  Key += Keys.Settings.Self.str() + "." +
         std::to_string(Keys.Settings.SelfIncarnation) + "." +
         std::to_string(Now.time_since_epoch().count()) + "." + toHex(Nonce);
  return Key + "." + macOf(Keys, Organisation, Key);
}

Result<TimePoint> checkEntryKey(const EntryKeys &Keys,
                                const OrganisationId &Organisation,
                                std::string_view Text, TimePoint Now) {
  BOOST_LEAF_AUTO(Address, parseEntryKey(Text));
  std::optional<KeyParts> Parts = splitKey(Text);
  if (Address !=
      EntryKeyAddress{Keys.Settings.Self, Keys.Settings.SelfIncarnation})
    return fail(ResultCode::KeyOwnerGone,
                "the idempotency key was issued by incarnation " +
                    std::to_string(Address.Issuer) + " of entry " +
                    Address.Entry.str() + ", which has ended");
  std::string Mac = macOf(Keys, Organisation, Parts->Signed);
  if (Mac.size() != Parts->Mac.size() ||
      CRYPTO_memcmp(Mac.data(), Parts->Mac.data(), Mac.size()) != 0)
    return fail(ResultCode::BadRequest,
                "the idempotency key was not issued to this organisation");
  TimePoint ExpiresAt =
      TimePoint(Duration(Parts->IssuedAt)) + Keys.Settings.Ttl;
  if (Now >= ExpiresAt)
    return fail(ResultCode::OutcomeUnknown,
                "the idempotency key has expired; its record is not kept");
  return ExpiresAt;
}

std::vector<KeyAction>
useEntryKey(EntryKeys &Keys, const OrganisationId &Organisation,
            std::string_view Text, const RequestId &Request,
            std::uint64_t BodyHash, TimePoint Deadline, TimePoint Now) {
  auto Refuse = [&](ResultCode Code, std::string Message,
                    Duration RetryAfter = Duration(0)) {
    return std::vector<KeyAction>{
        AnswerRefusal{Request, Code, std::move(Message), RetryAfter}};
  };
  Outcome<TimePoint> Checked =
      capture([&] { return checkEntryKey(Keys, Organisation, Text, Now); });
  if (const Error *Failure = errorOf(Checked))
    return Refuse(Failure->Code, Failure->Message);
  dropExpired(Keys, Now);
  const std::string Key(Text);
  auto Found = Keys.Records.find(Key);
  if (Found != Keys.Records.end()) {
    EntryKeys::Record &Known = Found->second;
    if (Known.BodyHash != BodyHash)
      return Refuse(ResultCode::IdempotencyKeyMismatch,
                    "the idempotency key was used with a different body");
    if (Known.Running) {
      Known.Waiters.emplace_back(Request, Deadline);
      return {};
    }
    if (!Known.Outcome)
      return Refuse(ResultCode::OutcomeUnknown,
                    "the call of this key ended with an unknown outcome");
    return {AnswerOutcome{Request, *Known.Outcome, true}};
  }
  if (Keys.Records.size() >= Keys.Settings.MaxRecords)
    return Refuse(ResultCode::RecordShardFull,
                  "this entry keeps " + std::to_string(Keys.Records.size()) +
                      " records of entry-issued keys, its limit",
                  seconds(60));
  EntryKeys::Record Started;
  Started.BodyHash = BodyHash;
  Started.Attempt = Keys.NextAttempt++;
  Started.Waiters.emplace_back(Request, Deadline);
  Started.ExpiresAt = std::get<0>(Checked);
  Keys.Running.emplace(Started.Attempt, Key);
  Keys.Expiries.emplace(Started.ExpiresAt, Key);
  SendCall Send{Request, Started.Attempt};
  Keys.Records.emplace(Key, std::move(Started));
  return {Send};
}

std::vector<KeyAction> endEntryKeyCall(EntryKeys &Keys, std::uint64_t Attempt,
                                       const CallEnd &End) {
  auto Running = Keys.Running.find(Attempt);
  if (Running == Keys.Running.end())
    return {};
  auto Found = Keys.Records.find(Running->second);
  Keys.Running.erase(Running);
  EntryKeys::Record &Ended = Found->second;
  auto Waiters = std::exchange(Ended.Waiters, {});
  Ended.Running = false;
  std::vector<KeyAction> Actions;
  if (const auto *Answered = std::get_if<CallAnswered>(&End)) {
    for (const auto &[Request, Deadline] : Waiters)
      Actions.push_back(
          AnswerOutcome{Request, Answered->Outcome, !Actions.empty()});
    CallOutcome Kept = keptOutcome(Answered->Outcome);
    if (Keys.BodyBytes + Kept.Body.size() > Keys.Settings.MaxBodyBytes)
      Kept = CallOutcome{Kept.Status, "", "", true};
    Keys.BodyBytes += Kept.Body.size();
    Ended.Outcome = std::move(Kept);
    return Actions;
  }
  const auto *NotRun = std::get_if<CallNotRun>(&End);
  ResultCode Code = NotRun ? NotRun->Code : std::get<CallUnknown>(End).Code;
  for (const auto &[Request, Deadline] : Waiters)
    Actions.push_back(AnswerRefusal{Request, Code,
                                    NotRun
                                        ? "no upstream ran the call"
                                        : "the upstream may have run the call",
                                    NotRun ? seconds(1) : Duration(0)});
  if (!NotRun)
    return Actions;
  auto [First, Last] = Keys.Expiries.equal_range(Ended.ExpiresAt);
  auto Expiry = std::find_if(First, Last, [&](const auto &Value) {
    return Value.second == Found->first;
  });
  if (Expiry != Last)
    Keys.Expiries.erase(Expiry);
  Keys.Records.erase(Found);
  return Actions;
}

void dropEntryKeyWaiter(EntryKeys &Keys, const RequestId &Request) {
  for (const auto &[Attempt, Key] : Keys.Running)
    std::erase_if(Keys.Records.at(Key).Waiters,
                  [&](const auto &Waiter) { return Waiter.first == Request; });
}

std::vector<KeyAction> tickEntryKeys(EntryKeys &Keys, TimePoint Now) {
  std::vector<KeyAction> Actions;
  for (const auto &[Attempt, Key] : Keys.Running)
    std::erase_if(Keys.Records.at(Key).Waiters, [&](const auto &Waiter) {
      if (Now >= Waiter.second)
        Actions.push_back(deadlineRefusal(Waiter.first));
      return Now >= Waiter.second;
    });
  dropExpired(Keys, Now);
  return Actions;
}

} // namespace samphirehill

#include "samphirehill/Idempotency/ShardObject.h"

#include "samphirehill/Core/Hash.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <openssl/sha.h>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

std::string toHex(std::uint64_t Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t I = 16; I-- > 0; Value >>= 4)
    Text[I] = Digits[Value & 15];
  return Text;
}

// Returns false if Text is not 16 hex digits.
bool parseHex(const std::string &Text, std::uint64_t &Value) {
  const char *End = Text.data() + Text.size();
  auto [Last, Code] = std::from_chars(Text.data(), End, Value, 16);
  return Text.size() == 16 && Code == std::errc() && Last == End;
}

std::size_t encodedSize(std::size_t Bytes) { return (Bytes + 2) / 3 * 4; }

std::string encodeBase64(const std::string &Bytes) {
  std::string Text(encodedSize(Bytes.size()) + 1, '\0'); // with terminator
  int Size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Size));
  return Text;
}

// Returns false if Text is not base64.
bool decodeBase64(const std::string &Text, std::string &Bytes) {
  Bytes.assign(Text.size() / 4 * 3, '\0');
  if (Text.empty())
    return true;
  int Size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Size < 0)
    return false;
  // EVP_DecodeBlock counts the padding as bytes.
  auto Count = static_cast<std::size_t>(Size);
  for (std::size_t I = Text.size(); Count > 0 && Text[I - 1] == '='; --I)
    --Count;
  Bytes.resize(Count);
  return true;
}

Json toArray(const std::string &Id, const ShardRecord &Record) {
  Json Row = Json::array({Id, toHex(Record.BodyHash), toHex(Record.Attempt),
                          Record.Epoch, Record.StartedAt});
  if (!Record.Outcome)
    return Row;
  Row.push_back(Record.Outcome->Status);
  Row.push_back(Record.Outcome->Trimmed ? 1 : 0);
  Row.push_back(encodeBase64(Record.Outcome->ContentType));
  Row.push_back(encodeBase64(Record.Outcome->Body));
  return Row;
}

Result<ShardRecord> fromArray(const Json &Row) {
  ShardRecord Record;
  if (!parseHex(Row.at(1).get<std::string>(), Record.BodyHash) ||
      !parseHex(Row.at(2).get<std::string>(), Record.Attempt))
    return fail(ResultCode::BadAnswer,
                "record shard: a body hash or attempt is not 16 hex digits");
  Record.Epoch = Row.at(3).get<std::uint64_t>();
  Record.StartedAt = Row.at(4).get<std::int64_t>();
  if (Row.size() == 5)
    return Record;
  CallOutcome Outcome;
  Outcome.Status = Row.at(5).get<int>();
  Outcome.Trimmed = Row.at(6).get<int>() != 0;
  if (!decodeBase64(Row.at(7).get<std::string>(), Outcome.ContentType) ||
      !decodeBase64(Row.at(8).get<std::string>(), Outcome.Body))
    return fail(ResultCode::BadAnswer,
                "record shard: a content type or body is not base64");
  Record.Outcome = std::move(Outcome);
  return Record;
}

Result<ShardObject> fromParsed(const Json &Value) {
  ShardObject Object;
  Object.Owner = EntryId(Value.at("owner").get<std::string>());
  Object.OwnerIncarnation = Value.at("incarnation").get<Incarnation>();
  Object.Epoch = Value.at("epoch").get<std::uint64_t>();
  for (const Json &Row : Value.at("records")) {
    BOOST_LEAF_AUTO(Record, fromArray(Row));
    Object.Records.emplace(Row.at(0).get<std::string>(), std::move(Record));
  }
  return Object;
}

// Returns the organisation with its length in front, and the key. Because of
// the length, no two pairs of organisation and key give the same bytes.
std::string lengthPrefixedKey(const OrganisationId &Organisation,
                              std::string_view Key) {
  std::string Bytes = std::to_string(Organisation.str().size());
  Bytes.append(":").append(Organisation.str()).append(Key);
  return Bytes;
}

} // namespace

std::size_t shardOf(const OrganisationId &Organisation, std::string_view Key) {
  return hashBytes(lengthPrefixedKey(Organisation, Key)) % ShardCount;
}

std::string recordIdOf(const OrganisationId &Organisation,
                       std::string_view Key) {
  std::string Bytes = lengthPrefixedKey(Organisation, Key);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Digest.data());
  std::uint64_t High = 0;
  std::uint64_t Low = 0;
  for (std::size_t I = 0; I < 8; ++I) {
    High = High << 8 | Digest[I];
    Low = Low << 8 | Digest[I + 8];
  }
  return toHex(High) + toHex(Low);
}

std::string toJson(const ShardObject &Object) {
  Json Records = Json::array();
  for (const auto &[Id, Record] : Object.Records)
    Records.push_back(toArray(Id, Record));
  Json Value;
  Value["owner"] = Object.Owner.str();
  Value["incarnation"] = Object.OwnerIncarnation;
  Value["epoch"] = Object.Epoch;
  Value["records"] = std::move(Records);
  return Value.dump();
}

Result<ShardObject> shardObjectFromJson(std::string_view Text) {
  try {
    return fromParsed(Json::parse(Text));
  } catch (const Json::exception &Caught) {
    return fail(ResultCode::BadAnswer,
                std::string("record shard: ") + Caught.what());
  }
}

std::size_t bodyCost(const CallOutcome &Outcome) {
  return encodedSize(Outcome.ContentType.size()) +
         encodedSize(Outcome.Body.size());
}

} // namespace samphirehill

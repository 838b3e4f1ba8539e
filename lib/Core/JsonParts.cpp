#include "samphirehill/Core/JsonParts.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <simdjson.h>
#include <string>
#include <utility>

namespace samphirehill {
namespace {

using nlohmann::json;
namespace ondemand = simdjson::ondemand;

constexpr int MaxDepth = 64;

std::string_view trimEnd(std::string_view Text) {
  std::size_t Last = Text.find_last_not_of(" \t\r\n");
  return Text.substr(0, Last == std::string_view::npos ? 0 : Last + 1);
}

// Returns the text of Value, which is then consumed.
simdjson::simdjson_result<std::string_view> rawText(ondemand::value Value) {
  ondemand::json_type Type{};
  if (simdjson::error_code Failed = Value.type().get(Type))
    return Failed;
  if (Type == ondemand::json_type::object) {
    ondemand::object Object;
    if (simdjson::error_code Failed = Value.get_object().get(Object))
      return Failed;
    return Object.raw_json();
  }
  if (Type == ondemand::json_type::array) {
    ondemand::array Array;
    if (simdjson::error_code Failed = Value.get_array().get(Array))
      return Failed;
    return Array.raw_json();
  }
  return Value.raw_json_token();
}

// Returns the part of Whole whose masked text is Masked.
JsonPart partOf(const JsonPart &Whole, std::string_view Masked) {
  Masked = trimEnd(Masked);
  auto Offset = static_cast<std::size_t>(Masked.data() - Whole.Masked.data());
  return {Whole.Text.substr(Offset, Masked.size()), Masked,
          Whole.Readable - Offset};
}

simdjson::simdjson_result<ondemand::document> iterate(const JsonPart &Part) {
  // Its buffers are as large as the text, and cost more than the reading when
  // they are allocated anew.
  thread_local ondemand::parser Parser;
  return Parser.iterate(simdjson::padded_string_view(
      Part.Masked.data(), Part.Masked.size(), Part.Readable));
}

struct NamedPart {
  std::string Name;
  JsonPart Value;
};

bool readFields(const JsonPart &Part, std::vector<NamedPart> &Found) {
  ondemand::document Document;
  ondemand::object Object;
  if (iterate(Part).get(Document) != simdjson::SUCCESS ||
      Document.get_object().get(Object) != simdjson::SUCCESS)
    return false;
  for (auto Each : Object) {
    ondemand::field Field;
    std::string_view Name;
    std::string_view Value;
    if (std::move(Each).get(Field) != simdjson::SUCCESS ||
        Field.unescaped_key().get(Name) != simdjson::SUCCESS ||
        rawText(Field.value()).get(Value) != simdjson::SUCCESS)
      return false;
    Found.push_back({std::string(Name), partOf(Part, Value)});
  }
  return true;
}

bool readElements(const JsonPart &Part, std::vector<JsonPart> &Found) {
  ondemand::document Document;
  ondemand::array Array;
  if (iterate(Part).get(Document) != simdjson::SUCCESS ||
      Document.get_array().get(Array) != simdjson::SUCCESS)
    return false;
  for (auto Each : Array) {
    ondemand::value Element;
    std::string_view Value;
    // get() takes rvalues only.
    // NOLINTNEXTLINE(performance-move-const-arg)
    if (std::move(Each).get(Element) != simdjson::SUCCESS ||
        rawText(Element).get(Value) != simdjson::SUCCESS)
      return false;
    Found.push_back(partOf(Part, Value));
  }
  return true;
}

} // namespace

JsonText::JsonText(std::string_view Text)
    : Text(Text), Masked(Text.size() + simdjson::SIMDJSON_PADDING, ' ') {
  std::transform(Text.begin(), Text.end(), Masked.begin(), [](char Each) {
    auto Code = static_cast<unsigned char>(Each);
    char Printable = Code < 0x20 ? ' ' : Each;
    return Code < 0x80 ? Printable : '?';
  });
}

JsonPart JsonText::whole() const {
  return {Text, std::string_view(Masked.data(), Text.size()), Masked.size()};
}

// The handlers are called after the reading, as they may read parts themselves.
bool forEachField(const JsonPart &Object, const FieldHandler &Handle) {
  std::vector<NamedPart> Found;
  if (!readFields(Object, Found))
    return false;
  for (const NamedPart &Each : Found)
    Handle(Each.Name, Each.Value);
  return true;
}

bool forEachElement(const JsonPart &Array, const ElementHandler &Handle) {
  std::vector<JsonPart> Found;
  if (!readElements(Array, Found))
    return false;
  for (const JsonPart &Each : Found)
    Handle(Each);
  return true;
}

json parseJson(std::string_view Text) {
  bool TooDeep = false;
  json Read = json::parse(
      Text,
      [&TooDeep](int Depth, json::parse_event_t, json &) {
        TooDeep = TooDeep || Depth > MaxDepth;
        return !TooDeep;
      },
      false);
  return TooDeep ? json(json::value_t::discarded) : Read;
}

} // namespace samphirehill

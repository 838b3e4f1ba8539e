#include "CallerStream.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace samphirehill::system_test {
namespace {

using Json = nlohmann::json;

constexpr std::string_view DataPrefix = "data: ";

// The data of each event, without the end mark.
std::vector<Json> events(const std::string &Body) {
  std::vector<Json> Events;
  std::istringstream Text(Body);
  for (std::string Line; std::getline(Text, Line);)
    if (Line.starts_with(DataPrefix) && Line != "data: [DONE]")
      Events.push_back(
          Json::parse(Line.substr(DataPrefix.size()), nullptr, false));
  return Events;
}

} // namespace

int Answer::code() const {
  std::string Value = findHeader(Headers, "Samphirehill-Result");
  return Value.empty() ? -1 : std::stoi(Value);
}

std::vector<std::string> CallerStream::tokens() const {
  std::vector<std::string> Tokens;
  for (const Json &Each : events(Got.Body)) {
    if (!Each.is_object() || !Each.contains("choices"))
      continue;
    std::string Text = Each["choices"][0].value("text", std::string());
    if (!Text.empty())
      Tokens.push_back(Text);
  }
  return Tokens;
}

bool CallerStream::endMark() const {
  return Got.Body.ends_with("data: [DONE]\n\n");
}

int CallerStream::errorCode() const {
  if (Got.Status != 200)
    return std::max(0, Got.code());
  bool Announced = Got.Body.find("event: error\n") != std::string::npos;
  for (const Json &Each : events(Got.Body))
    if (Announced && Each.is_object() && Each.contains("error"))
      return Each["error"].value("code", 0);
  return 0;
}

} // namespace samphirehill::system_test

#include "loadtool/StreamCheck.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace samphirehill::loadtool {
namespace {

using Json = nlohmann::json;

// The text of a chunk object; a chat chunk has it in a delta.
std::string textOf(const Json &Chunk) {
  const Json &Choice = Chunk.at("choices").at(0);
  if (Choice.contains("text"))
    return Choice["text"].get<std::string>();
  return Choice.at("delta").value("content", std::string());
}

} // namespace

std::vector<std::string> BlockReader::take(std::string_view Bytes) {
  Rest += Bytes;
  std::vector<std::string> Blocks;
  std::size_t From = 0;
  for (std::size_t At = Rest.find(Separator); At != std::string::npos;
       At = Rest.find(Separator, From)) {
    Blocks.push_back(Rest.substr(From, At - From));
    From = At + Separator.size();
  }
  Rest.erase(0, From);
  return Blocks;
}

StreamEvent readEvent(const std::string &Block) {
  constexpr std::string_view Data = "data: ";
  StreamEvent Event;
  std::size_t At = Block.starts_with(Data) ? 0 : Block.find("\ndata: ");
  if (At == std::string::npos)
    return Event;
  std::string Text = Block.substr(At + Data.size() + (At == 0 ? 0 : 1));
  if (Text == "[DONE]") {
    Event.What = StreamEvent::Kind::Done;
    return Event;
  }
  try {
    Json Value = Json::parse(Text);
    if (Value.contains("error")) {
      Event.What = StreamEvent::Kind::Error;
      Event.Code = Value["error"].at("code").get<int>();
    } else {
      Event.Text = textOf(Value);
      Event.What = StreamEvent::Kind::Text;
    }
  } catch (const Json::exception &) {
    Event.What = StreamEvent::Kind::Other;
  }
  return Event;
}

StreamEvent readEngineLine(const std::string &Line) {
  StreamEvent Event;
  Json Value = Json::parse(Line, nullptr, false);
  if (!Value.is_object())
    return Event;
  if (Value.value("done", false)) {
    std::string Reason = Value.value("finishReason", "");
    bool Whole = Reason == "stop" || Reason == "length";
    Event.What = Whole ? StreamEvent::Kind::Done : StreamEvent::Kind::Error;
  } else if (Value.contains("token")) {
    Event.What = StreamEvent::Kind::Text;
    Event.Text = Value.value("token", "");
  }
  return Event;
}

void StreamCheck::take(std::string_view Piece) {
  while (!Piece.empty() && Fault.empty()) {
    if (Next == Expected.size()) {
      Fault = "text after the last token";
      return;
    }
    const std::string &Token = Expected[Next];
    if (Piece.starts_with(Token)) {
      Piece.remove_prefix(Token.size());
      ++Next;
      continue;
    }
    auto Matches = [&](const std::string &Other) {
      return Piece.starts_with(Other);
    };
    auto Here = Expected.begin() + static_cast<std::ptrdiff_t>(Next);
    std::string Where = " at token " + std::to_string(Next);
    if (std::any_of(Expected.begin(), Here, Matches))
      Fault = "repeated token" + Where;
    else if (std::any_of(Here, Expected.end(), Matches))
      Fault = "lost token" + Where;
    else
      Fault = "foreign text" + Where;
  }
}

void StreamCheck::end() {
  if (Fault.empty() && Next < Expected.size())
    Fault = "end mark after " + std::to_string(Next) + " of " +
            std::to_string(Expected.size()) + " tokens";
}

} // namespace samphirehill::loadtool

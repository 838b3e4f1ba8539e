#include "samphirehill/Daemon/EngineStream.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

void breakStream(StreamStep &Step, std::string Reason) {
  Step.State = StreamState::Broken;
  Step.Reason = std::move(Reason);
}

void takeEnd(EngineStream &Stream, const Json &Line, StreamStep &Step) {
  auto Count = Line.value("count", std::int64_t(-1));
  if (Count != static_cast<std::int64_t>(Stream.Delivered.size())) {
    breakStream(Step, "end mark counts " + std::to_string(Count) +
                          " tokens, delivered were " +
                          std::to_string(Stream.Delivered.size()));
    return;
  }
  Stream.FinishReason = Line.value("finishReason", "stop");
  Step.State = StreamState::Complete;
}

void takeToken(EngineStream &Stream, const Json &Line, StreamStep &Step) {
  auto Index = Line.value("index", std::int64_t(-1));
  auto Next = static_cast<std::int64_t>(Stream.Delivered.size());
  if (Index >= 0 && Index < Next) {
    ++Stream.Repeated;
    return;
  }
  if (Index != Next) {
    breakStream(Step, "token index " + std::to_string(Index) + ", expected " +
                          std::to_string(Next));
    return;
  }
  Stream.Delivered.push_back(Line.value("token", ""));
  Step.Tokens.push_back(Stream.Delivered.back());
}

void takeLine(EngineStream &Stream, std::string_view Text, StreamStep &Step) {
  if (Text.empty())
    return;
  Json Line = Json::parse(Text, nullptr, false);
  if (!Line.is_object()) {
    breakStream(Step, "line is not a JSON object");
    return;
  }
  try {
    std::string Boot = Line.value("bootId", Stream.Boot.str());
    if (Line.value("requestId", "") != Stream.Attempt.str() ||
        Boot != Stream.Boot.str()) {
      ++Stream.Foreign;
      return;
    }
    if (Line.value("done", false))
      takeEnd(Stream, Line, Step);
    else
      takeToken(Stream, Line, Step);
  } catch (const Json::exception &) {
    breakStream(Step, "line has a field of the wrong type");
  }
}

// Returns the text of a field, or Default where there is none.
std::string textOf(const Json &Body, const char *Name,
                   const std::string &Default) {
  bool Found =
      Body.is_object() && Body.contains(Name) && Body[Name].is_string();
  return Found ? Body[Name].get<std::string>() : Default;
}

} // namespace

void beginAttempt(EngineStream &Stream, RequestId Attempt, BootId Boot) {
  Stream.Attempt = std::move(Attempt);
  Stream.Boot = std::move(Boot);
  Stream.Partial.clear();
}

StreamStep feed(EngineStream &Stream, std::string_view Bytes) {
  StreamStep Step;
  Stream.Partial += Bytes;
  std::size_t Start = 0;
  while (Step.State == StreamState::Open) {
    std::size_t End = Stream.Partial.find('\n', Start);
    if (End == std::string::npos)
      break;
    takeLine(Stream,
             std::string_view(Stream.Partial).substr(Start, End - Start), Step);
    Start = End + 1;
  }
  Stream.Partial.erase(0, Start);
  if (Step.State == StreamState::Open &&
      Stream.Partial.size() > MaxEngineLineBytes)
    breakStream(Step, "line is longer than " +
                          std::to_string(MaxEngineLineBytes) + " bytes");
  return Step;
}

EngineRefusal readRefusal(const std::string &Body, int Status,
                          const RequestId &Attempt) {
  Json Read = Json::parse(Body, nullptr, false);
  return {textOf(Read, "error", "status " + std::to_string(Status)),
          textOf(Read, "requestId", "") == Attempt.str()};
}

} // namespace samphirehill

#include "samphirehill/Daemon/CompletionApi.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t BytesPerToken = 4;

boost::leaf::error_id bad(std::string Message) {
  return fail(ResultCode::BadRequest, std::move(Message));
}

// Nested deeper than this the parser's recursion would use too much stack.
constexpr int MaxNesting = 64;

// Parses Body; null if it is broken or nested too deeply.
Json parseBounded(std::string_view Body) {
  auto Bound = [](int Depth, Json::parse_event_t, Json &) {
    return Depth <= MaxNesting;
  };
  return Json::parse(Body, Bound, false);
}

Result<std::string> stringField(const Json &Object, const char *Name) {
  auto Found = Object.find(Name);
  if (Found == Object.end() || !Found->is_string())
    return bad(std::string("field \"") + Name + "\" must be a string");
  return Found->get<std::string>();
}

Result<std::string> joinMessages(const Json &Object) {
  auto Found = Object.find("messages");
  if (Found == Object.end() || !Found->is_array() || Found->empty())
    return bad("field \"messages\" must be a non-empty array");
  std::string Prompt;
  for (const Json &Message : *Found) {
    if (!Message.is_object())
      return bad("each element of \"messages\" must be an object");
    BOOST_LEAF_AUTO(Role, stringField(Message, "role"));
    BOOST_LEAF_AUTO(Content, stringField(Message, "content"));
    Prompt += Role;
    Prompt += ": ";
    Prompt += Content;
    Prompt += "\n";
  }
  return Prompt;
}

Result<int> maxTokens(const Json &Object) {
  auto Found = Object.find("max_tokens");
  if (Found == Object.end())
    return CompletionRequest().MaxTokens;
  if (!Found->is_number_integer() || Found->get<std::int64_t>() < 1 ||
      Found->get<std::int64_t>() > MaxCompletionTokens)
    return bad("field \"max_tokens\" must be an integer from 1 to " +
               std::to_string(MaxCompletionTokens));
  return Found->get<int>();
}

Json choice(const CompletionRequest &Request, std::string_view Text,
            std::string_view FinishReason, bool Whole) {
  Json Choice = {{"index", 0}};
  if (Request.Kind == CompletionKind::Text)
    Choice["text"] = Text;
  else if (Whole)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  else if (Text.empty())
    Choice["delta"] = Json::object();
  else
    Choice["delta"] = {{"content", Text}};
  Choice["finish_reason"] =
      FinishReason.empty() ? Json(nullptr) : Json(FinishReason);
  return Choice;
}

Json envelope(const CompletionRequest &Request, const RequestId &Id,
              bool Whole) {
  const char *Object = "text_completion";
  if (Request.Kind == CompletionKind::Chat)
    Object = Whole ? "chat.completion" : "chat.completion.chunk";
  return {{"id", Id.str()}, {"object", Object}, {"model", Request.Model}};
}

// Invalid bytes of an upstream become replacement characters.
std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

bool isUtf8(std::string_view Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    auto Byte = static_cast<unsigned char>(Text[At]);
    if (Byte < 0x80) {
      ++At;
      continue;
    }
    std::size_t Length = Byte >= 0xF0 ? 4 : Byte >= 0xE0 ? 3 : 2;
    if (Byte < 0xC2 || Byte > 0xF4 || At + Length > Text.size())
      return false;
    std::uint32_t Point = Byte & (0x7FU >> Length);
    for (std::size_t I = 1; I < Length; ++I) {
      auto Next = static_cast<unsigned char>(Text[At + I]);
      if ((Next & 0xC0U) != 0x80U)
        return false;
      Point = Point << 6U | (Next & 0x3FU);
    }
    bool Overlong = (Length == 3 && Point < 0x800) ||
                    (Length == 4 && (Point < 0x10000 || Point > 0x10FFFF));
    bool Surrogate = Point >= 0xD800 && Point <= 0xDFFF;
    if (Overlong || Surrogate)
      return false;
    At += Length;
  }
  return true;
}

Result<CompletionRequest> parseCompletion(CompletionKind Kind,
                                          std::string_view Body) {
  if (!isUtf8(Body))
    return bad("body is not valid UTF-8");
  Json Parsed = parseBounded(Body);
  if (!Parsed.is_object())
    return bad("body must be a JSON object nested at most " +
               std::to_string(MaxNesting) + " levels deep");
  CompletionRequest Request;
  Request.Kind = Kind;
  BOOST_LEAF_ASSIGN(Request.Model, stringField(Parsed, "model"));
  std::size_t Colon = Request.Model.find(':');
  if (Colon != std::string::npos)
    Request.Adapter = Request.Model.substr(Colon + 1);
  if (Kind == CompletionKind::Chat) {
    BOOST_LEAF_ASSIGN(Request.Prompt, joinMessages(Parsed));
  } else {
    BOOST_LEAF_ASSIGN(Request.Prompt, stringField(Parsed, "prompt"));
  }
  BOOST_LEAF_ASSIGN(Request.MaxTokens, maxTokens(Parsed));
  auto Stream = Parsed.find("stream");
  if (Stream != Parsed.end() && !Stream->is_boolean())
    return bad("field \"stream\" must be true or false");
  Request.Stream = Stream != Parsed.end() && Stream->get<bool>();
  return Request;
}

std::int64_t estimateTokens(std::string_view Prompt) {
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(Prompt.size()) /
                                       BytesPerToken);
}

std::string completionEvent(const CompletionRequest &Request,
                            const RequestId &Id, std::string_view Token,
                            std::string_view FinishReason) {
  Json Event = envelope(Request, Id, false);
  Event["choices"] = Json::array({choice(Request, Token, FinishReason, false)});
  return "data: " + dump(Event) + "\n\n";
}

std::string errorBody(const Error &Failure) {
  Json Body = {{"error",
                {{"code", static_cast<int>(Failure.Code)},
                 {"type", toString(Failure.Code)},
                 {"run", toString(runState(Failure.Code))},
                 {"message", Failure.Message}}}};
  return dump(Body);
}

std::string errorEvent(const Error &Failure) {
  return "event: error\ndata: " + errorBody(Failure) + "\n\n";
}

std::string completionBody(const CompletionRequest &Request,
                           const RequestId &Id, std::string_view Text,
                           std::string_view FinishReason,
                           std::int64_t CompletionTokens) {
  Json Body = envelope(Request, Id, true);
  Body["choices"] = Json::array({choice(Request, Text, FinishReason, true)});
  Body["usage"] = {{"completion_tokens", CompletionTokens}};
  return dump(Body);
}

} // namespace samphirehill

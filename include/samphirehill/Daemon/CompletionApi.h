// The OpenAI-style completion interface as values: parses request bodies and
// formats answers, events and errors. No I/O.
#ifndef SAMPHIREHILL_DAEMON_COMPLETIONAPI_H
#define SAMPHIREHILL_DAEMON_COMPLETIONAPI_H

#include "samphirehill/Core/Ids.h"
#include "samphirehill/Core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphirehill {

enum class CompletionKind { Chat, Text };

struct CompletionRequest {
  CompletionKind Kind = CompletionKind::Text;
  std::string Model;   // "<model>" or "<model>:<adapter>"
  std::string Adapter; // empty: none
  std::string Prompt;  // chat messages are joined as "<role>: <content>\n"
  int MaxTokens = 256;
  bool Stream = false;

  bool operator==(const CompletionRequest &) const = default;
};

constexpr int MaxCompletionTokens = 32768;

// Parses a request body. Fails with BadRequest for broken JSON, wrong UTF-8,
// missing or ill-typed fields and limits exceeded; the message names the field.
Result<CompletionRequest> parseCompletion(CompletionKind Kind,
                                          std::string_view Body);

// Estimates the tokens of a prompt: one per 4 bytes, at least 1.
std::int64_t estimateTokens(std::string_view Prompt);

// One server-sent event that carries Token, or the end mark's predecessor with
// FinishReason when Token is empty.
std::string completionEvent(const CompletionRequest &Request,
                            const RequestId &Id, std::string_view Token,
                            std::string_view FinishReason);

// The event that ends every complete stream.
inline constexpr std::string_view StreamEndMark = "data: [DONE]\n\n";

// The event that ends a stream which can't be completed.
std::string errorEvent(const Error &Failure);

// The whole answer of a request without streaming.
std::string completionBody(const CompletionRequest &Request,
                           const RequestId &Id, std::string_view Text,
                           std::string_view FinishReason,
                           std::int64_t CompletionTokens);

// The JSON body of a refusal or error.
std::string errorBody(const Error &Failure);

// Returns whether Text is valid UTF-8.
bool isUtf8(std::string_view Text);

} // namespace samphirehill

#endif // SAMPHIREHILL_DAEMON_COMPLETIONAPI_H

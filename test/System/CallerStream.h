// What a caller got: a whole answer, or the events of a streamed one.
#ifndef SAMPHIREHILL_TEST_SYSTEM_CALLERSTREAM_H
#define SAMPHIREHILL_TEST_SYSTEM_CALLERSTREAM_H

#include "samphirehill/Core/Time.h"
#include "samphirehill/Net/HttpClient.h"

#include <memory>
#include <string>
#include <vector>

namespace samphirehill::system_test {

struct Answer {
  int Status = 0; // 0: no whole answer
  HttpHeaders Headers;
  std::string Body;

  // The number in Samphirehill-Result, or -1.
  int code() const;
  std::string run() const { return findHeader(Headers, "Samphirehill-Run"); }
};

struct CallerStream {
  std::string Prompt;
  int MaxTokens = 0;
  CallId Call = 0;
  Answer Got;        // its body as far as it has arrived
  bool Over = false; // the connection has ended
  bool HungUp = false;
  TimePoint Started, Ended;

  std::vector<std::string> tokens() const;
  bool endMark() const;
  // The result code of a refusal or of the error event; 0 if there is none.
  int errorCode() const;
};
using StreamPtr = std::shared_ptr<CallerStream>;

} // namespace samphirehill::system_test

#endif // SAMPHIREHILL_TEST_SYSTEM_CALLERSTREAM_H

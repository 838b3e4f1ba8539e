// A simple wire format with short header names, and answers of scripted engines
// in this format, for tests of the serving path without an adapter.
#ifndef SAMPHIREHILL_TEST_SERVING_TESTWIRE_H
#define SAMPHIREHILL_TEST_SERVING_TESTWIRE_H

#include "samphirehill/Serving/RequestWire.h"

#include <string>
#include <vector>

namespace samphirehill::serving {

// Returns the functions that read and write this format.
inline RequestWire testWire() {
  RequestWire Wire;
  Wire.ReadRequest = [](const HttpRequest &Request) {
    RequestFacts Facts;
    Facts.Id = *findHeader(Request.Headers, "id");
    Facts.Host = "h";
    Facts.Model = "large";
    Facts.TimeLeft = seconds(3);
    if (const std::string *Part = findHeader(Request.Headers, "part"))
      Facts.SharedParts = {std::stoull(*Part)};
    return Facts;
  };
  Wire.Forward = [](const HttpRequest &Original, const SendFacts &Facts) {
    HttpRequest Sent = Original;
    if (Facts.LastEventId)
      Sent.Headers.push_back({"last", std::to_string(*Facts.LastEventId)});
    return Sent;
  };
  Wire.ReadAnswer = [](const HttpResponse &Answer) {
    AnswerFacts Facts;
    const std::string *Id = findHeader(Answer.Headers, "id");
    Facts.Id = Id ? *Id : "";
    Facts.Sealed = findHeader(Answer.Headers, "seal") != nullptr;
    Facts.NotRun = findHeader(Answer.Headers, "notrun") != nullptr;
    Facts.Leaving = findHeader(Answer.Headers, "leaving") != nullptr;
    if (const std::string *Pause = findHeader(Answer.Headers, "quiet"))
      Facts.QuietFor = milliseconds(std::stoi(*Pause));
    if (const std::string *Limit = findHeader(Answer.Headers, "limit"))
      Facts.Limit = std::stod(*Limit);
    return Facts;
  };
  Wire.BuildAnswer = [](int Status, const std::string &Id,
                        std::optional<Duration> RetryAfter) {
    HttpResponse Answer{Status, {{"id", Id}}, {}};
    if (RetryAfter)
      Answer.Headers.push_back({"retry", "yes"});
    return Answer;
  };
  return Wire;
}

// Returns an answer with a Content-Length header. Head holds the status and the
// other headers.
inline std::string answer(const std::string &Head, const std::string &Body) {
  return "HTTP/1.1 " + Head +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

// Ends of status lines with a status that no answer may have.
inline const char *const UnusableStatuses[] = {
    "000",   "000 Zero", "001 X",  "099 X",   "20 X",  "101 X",
    "600 X", "999 X",    "2000 X", "65736 X", "-200 X"};

// Lines of heads whose field has no name that is a token (RFC 9110, section
// 5.6.2).
inline std::vector<std::string> linesWithMalformedNames() {
  std::vector<std::string> Lines = {"X Own: 1",
                                    "X-Own : 1",
                                    "X-Own\t: 1",
                                    "Content-Length : 2",
                                    "Transfer-Encoding : chunked",
                                    "Content Length: 2",
                                    "HTTP/1.1 X: 1",
                                    ": 1",
                                    "X-Own"};
  for (char Letter : {'\0', '\x01', '\t', '\r', '\x1f', ' ', '"', '(', '/', '[',
                      '\x7f', '\x80', '\xe9'})
    Lines.push_back(std::string("X") + Letter + "Own: 1");
  return Lines;
}

} // namespace samphirehill::serving

#endif // SAMPHIREHILL_TEST_SERVING_TESTWIRE_H

// Processor time of the data path without sockets: what one generated token
// and one request cost in the decisions and the formatting.
#include "Measure.h"
#include "Samples.h"

#include "samphirehill/Daemon/CompletionApi.h"
#include "samphirehill/Daemon/EngineStream.h"

namespace samphirehill::capacity {

void measureData() {
  std::vector<Point> Time;
  CompletionRequest Request;
  Request.Model = "notes-70b";
  RequestId Id(requestId(1));
  BootId Boot("b-" + std::to_string(SampleIncarnation));
  for (std::size_t Tokens : {50, 200, 800}) {
    std::vector<std::string> Lines;
    for (std::size_t I = 0; I < Tokens; ++I)
      Lines.push_back(nlohmann::json{{"requestId", Id.str()},
                                     {"bootId", Boot.str()},
                                     {"index", I},
                                     {"token", " lamp"}}
                          .dump() +
                      "\n");
    Time.push_back({static_cast<double>(Tokens), timePerCall([&] {
                      EngineStream Stream;
                      beginAttempt(Stream, Id, Boot);
                      for (const std::string &Line : Lines)
                        for (const std::string &Token :
                             feed(Stream, Line).Tokens)
                          completionEvent(Request, Id, Token, "");
                    })});
  }
  report("relay a stream without sockets", "us", "tokens", Time, 487);

  std::vector<Point> Parse;
  for (std::size_t Bytes : {1024, 8192, 65536}) {
    std::string Body = R"({"model":"notes-70b","prompt":")" +
                       std::string(Bytes, 'a') + R"(","max_tokens":512})";
    Parse.push_back(
        {static_cast<double>(Bytes), timePerCall([&] {
           capture([&] { return parseCompletion(CompletionKind::Text, Body); });
           prefixHashes(Body);
         })});
  }
  report("parse a request and hash its prompt", "us", "bytes", Parse, 8192);
}

} // namespace samphirehill::capacity

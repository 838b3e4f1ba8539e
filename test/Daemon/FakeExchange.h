// A caller's request without a server, for tests of the request path.
#ifndef SAMPHIREHILL_TEST_DAEMON_FAKEEXCHANGE_H
#define SAMPHIREHILL_TEST_DAEMON_FAKEEXCHANGE_H

#include "samphirehill/Net/HttpServer.h"

#include <string>
#include <utility>

namespace samphirehill::test {

class FakeExchange : public HttpExchange {
public:
  FakeExchange(std::string Method, std::string Path, HttpHeaders Headers = {},
               std::string Body = "")
      : Method(std::move(Method)), Path(std::move(Path)),
        Sent(std::move(Headers)), Content(std::move(Body)) {}

  const std::string &method() const override { return Method; }
  const std::string &path() const override { return Path; }
  const std::string &query() const override { return Query; }
  const HttpHeaders &headers() const override { return Sent; }
  const std::string &body() const override { return Content; }
  void respond(int Code, const HttpHeaders &Headers,
               std::string Body) override {
    Status = Code;
    Answered = Headers;
    Answer = std::move(Body);
  }
  void start(int Code, const HttpHeaders &Headers) override {
    Status = Code;
    Answered = Headers;
  }
  void write(std::string Chunk) override { Answer += Chunk; }
  void finish() override {}
  void abort() override {}
  void onClosed(std::function<void()>) override {}

  int Status = 0; // of the answer; 0: none yet
  HttpHeaders Answered;
  std::string Answer;

private:
  std::string Method;
  std::string Path;
  std::string Query;
  HttpHeaders Sent;
  std::string Content;
};

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_DAEMON_FAKEEXCHANGE_H

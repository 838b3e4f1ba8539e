// Runs a stand-in's handler in the test process on a loopback port that the
// system chooses, and calls it through the HTTP client.
#ifndef SAMPHIREHILL_TEST_STANDINS_STANDINFIXTURE_H
#define SAMPHIREHILL_TEST_STANDINS_STANDINFIXTURE_H

#include "samphirehill/Net/HttpClient.h"
#include "standin-common/Program.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace samphirehill::standin {

class StandinFixture : public testing::Test {
protected:
  void serve(Handler Serve) {
    Server = listen(Io, "127.0.0.1:0", std::move(Serve));
    Address = "127.0.0.1:" + std::to_string(Server->port());
  }

  // Runs Io until Done returns true; fails the test after 10 s.
  void runUntil(const std::function<bool()> &Done) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Done() && std::chrono::steady_clock::now() < End)
      Io.run_one_for(std::chrono::milliseconds(50));
    ASSERT_TRUE(Done()) << "no result within 10 s";
  }

  // Starts a call and runs Io until it hands over its result.
  template <typename T>
  Outcome<T>
  await(const std::function<void(std::function<void(Outcome<T>)>)> &Start) {
    auto Result = std::make_shared<std::optional<Outcome<T>>>();
    Start([Result](Outcome<T> Value) { *Result = std::move(Value); });
    runUntil([&] { return Result->has_value(); });
    if (!*Result)
      return Error{ResultCode::Timeout, "no result"};
    return std::move(**Result);
  }

  Outcome<HttpResponse> call(const std::string &Method, const std::string &Path,
                             const Json &Body = Json(),
                             HttpHeaders Headers = {}) {
    HttpRequest Request;
    Request.Method = Method;
    Request.Url = "http://" + Address + Path;
    Request.Headers = std::move(Headers);
    Request.Body = Body.is_null() ? "" : Body.dump();
    Request.FreshConnection = true;
    return await<HttpResponse>(
        [&](auto OnDone) { Client.send(Request, std::move(OnDone)); });
  }

  // Returns the status of an answer, or 0 when there was none.
  static int status(const Outcome<HttpResponse> &Value) {
    return errorOf(Value) ? 0 : std::get<0>(Value).Status;
  }

  // Returns the JSON body of an answer.
  static Json body(const Outcome<HttpResponse> &Value) {
    if (errorOf(Value))
      return Json::object();
    return Json::parse(std::get<0>(Value).Body, nullptr, false);
  }

  void setFaults(const Json &Faults) {
    ASSERT_EQ(status(call("POST", "/control/faults", Faults)), 200);
  }

  asio::io_context Io;
  // Keeps Io running while only the client's thread has work.
  asio::executor_work_guard<asio::io_context::executor_type> Guard{
      Io.get_executor()};
  HttpClient Client{Io};
  std::unique_ptr<HttpServer> Server;
  std::string Address;
};

} // namespace samphirehill::standin

#endif // SAMPHIREHILL_TEST_STANDINS_STANDINFIXTURE_H

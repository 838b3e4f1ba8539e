#include "standin-common/Program.h"

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <random>

namespace samphirehill::standin {

int serve(asio::io_context &Io, const std::string &Address, Handler Serve) {
  try {
    asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([&Io](const auto &, int) { Io.stop(); });
    auto Server = listen(Io, Address, std::move(Serve));
    std::cout << "ready " << Address.substr(0, Address.rfind(':')) << ":"
              << Server->port() << std::endl;
    Io.run();
    return 0;
  } catch (const std::exception &Failure) {
    std::cerr << Failure.what() << std::endl;
    return 1;
  }
}

void after(asio::io_context &Io, Duration Delay,
           std::function<void()> Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(Io, Delay);
  Timer->async_wait([Timer, Callback = std::move(Callback)](const auto &Fault) {
    if (!Fault)
      Callback();
  });
}

void sendJson(const ResponderPtr &To, int Status, const Json &Body,
              HttpHeaders Headers) {
  To->send(Status, Body.dump(), std::move(Headers));
}

Json parseObject(const Request &From) {
  if (From.Body.empty())
    return Json::object();
  Json Value = Json::parse(From.Body, nullptr, false);
  return Value.is_object() ? Value : Json(Json::value_t::discarded);
}

void fetchJson(HttpClient &Http, const std::string &Url,
               std::function<void(int, Json)> OnDone) {
  HttpRequest Request;
  Request.Url = Url;
  Request.Timeout = seconds(1);
  Http.send(Request,
            [OnDone = std::move(OnDone)](const Outcome<HttpResponse> &Answer) {
              if (errorOf(Answer))
                return OnDone(0, Json::object());
              const HttpResponse &Whole = std::get<HttpResponse>(Answer);
              OnDone(Whole.Status, Json::parse(Whole.Body, nullptr, false));
            });
}

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

void RateLimit::set(double Rate, double Limit) {
  PerSecond = Rate;
  Burst = Limit;
  Tokens = Limit;
}

bool RateLimit::allow(TimePoint Now) {
  if (PerSecond <= 0)
    return true;
  Tokens = std::min(Burst, Tokens + PerSecond * toSeconds(Now - Last));
  Last = Now;
  if (Tokens < 1)
    return false;
  Tokens -= 1;
  return true;
}

std::string randomId() {
  std::random_device Source;
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%08x%08x", Source(), Source());
  return Text;
}

} // namespace samphirehill::standin

// Two processes' runtimes and peer hubs over loopback.
#ifndef SAMPHIREHILL_TEST_DAEMON_HUBFIXTURE_H
#define SAMPHIREHILL_TEST_DAEMON_HUBFIXTURE_H

#include "samphirehill/Daemon/PeerHub.h"

#include "peer.pb.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace samphirehill::test {

// Returns a port that was free a moment ago.
inline std::uint16_t freePort(asio::io_context &Context) {
  asio::ip::tcp::acceptor Probe(
      Context, {asio::ip::make_address("127.0.0.1"), std::uint16_t(0)});
  return Probe.local_endpoint().port();
}

struct HubNode {
  HubNode(asio::io_context &Context, const std::string &Name) {
    // Another process may take the port between the two calls.
    for (int Try = 0; Try < 10 && !Hub; ++Try) {
      Settings Config;
      Config.Entry = EntryId(Name);
      Config.Zone = ZoneId("z");
      Config.Peers = {"127.0.0.1", freePort(Context)};
      Config.PeerKey = Secret("0123456789abcdef");
      Shared = std::make_unique<Runtime>(Context, Config, 1);
      auto Made = capture([&] { return PeerHub::create(*Shared); });
      if (!errorOf(Made))
        Hub = std::move(std::get<0>(Made));
    }
  }
  PeerAddress address() const {
    return {Shared->Config.Entry, Shared->Config.Peers.str()};
  }

  std::unique_ptr<Runtime> Shared;
  std::unique_ptr<PeerHub> Hub;
};

struct HubFixture : testing::Test {
  void SetUp() override {
    ASSERT_TRUE(One.Hub && Two.Hub);
    One.Hub->setPeers({One.address(), Two.address()});
    Two.Hub->setPeers({One.address(), Two.address()});
    ASSERT_TRUE(connects(One, Two) && connects(Two, One));
  }
  // Runs Context until Done or for 5 s. Returns whether Done became true.
  template <typename F> bool runUntil(F Done) {
    auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && std::chrono::steady_clock::now() < Limit) {
      Context.restart();
      Context.run_for(std::chrono::milliseconds(5));
    }
    return Done();
  }
  // Sends until one message arrives: those before the connection stands are
  // lost by contract.
  bool connects(HubNode &From, HubNode &To) {
    // Signals have no disconnect, so the flag outlives this call.
    auto Arrived = std::make_shared<bool>(false);
    To.Hub->Received.connect([Arrived](const auto &) { *Arrived = true; });
    return runUntil([&] {
      peer::Envelope Message;
      Message.mutable_home_release();
      From.Hub->send(To.Shared->Config.Entry, Message);
      return *Arrived;
    });
  }

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  HubNode One{Context, "one"};
  HubNode Two{Context, "two"};
};

} // namespace samphirehill::test

#endif // SAMPHIREHILL_TEST_DAEMON_HUBFIXTURE_H

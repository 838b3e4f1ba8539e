#include "samphirehill/Net/PeerLink.h"

#include "PeerLinkWorker.h"
#include "peer.pb.h"

#include <gtest/gtest.h>

#include <asio/io_context.hpp>

namespace samphirehill {
namespace {

const std::string Key(64, '7');
const std::string OtherKey(64, '8');

// A link with everything it has received.
struct Node {
  Node(asio::io_context &Context, const std::string &Name,
       const std::string &KeyHex = Key,
       const std::string &Address = "127.0.0.1:0", std::size_t MaxQueued = 100)
      : Name(Name) {
    PeerLinkSettings Settings{EntryId(Name), 1, Address, KeyHex, MaxQueued};
    auto Made = capture([&] {
      return PeerLink::create(
          Context, Settings,
          [this](const peer::Envelope &Message) { Got.push_back(Message); });
    });
    if (errorOf(Made) == nullptr)
      Link = std::move(std::get<0>(Made));
  }
  PeerAddress address() const { return {EntryId(Name), Link->address()}; }

  std::string Name;
  std::vector<peer::Envelope> Got;
  std::unique_ptr<PeerLink> Link;
};

peer::Envelope pull(const std::string &Name) {
  peer::Envelope Message;
  Message.mutable_state_pull()->set_name(Name);
  return Message;
}

struct PeerLinkTest : testing::Test {
  // Runs Context until Done or for 5 s. Returns whether Done became true.
  template <typename F> bool runUntil(F Done) {
    auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Done() && std::chrono::steady_clock::now() < Limit) {
      Context.restart();
      Context.run_for(std::chrono::milliseconds(5));
    }
    return Done();
  }

  // Sends from From to To until one message arrives: messages before the
  // connection stands are dropped by contract. Then sends a last one, so that
  // From's counters cover all messages before it when this returns.
  bool connects(Node &From, Node &To) {
    std::size_t Before = To.Got.size();
    if (!runUntil([&] {
          From.Link->send(EntryId(To.Name), pull("hello"));
          return To.Got.size() > Before;
        }))
      return false;
    From.Link->send(EntryId(To.Name), pull("settled"));
    return runUntil(
        [&] { return To.Got.back().state_pull().name() == "settled"; });
  }

  asio::io_context Context;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
};

// Guards against lost, reordered or unsigned messages on a standing connection.
TEST_F(PeerLinkTest, DeliversInOrderWithSenderWhenConnected) {
  Node A(Context, "a");
  Node B(Context, "b");
  A.Link->setPeers({A.address(), B.address()});
  ASSERT_TRUE(connects(A, B));
  for (int I = 0; I < 50; ++I)
    EXPECT_TRUE(A.Link->send(EntryId("b"), pull(std::to_string(I))));
  ASSERT_TRUE(runUntil([&] {
    return !B.Got.empty() && B.Got.back().state_pull().name() == "49";
  }));
  for (std::size_t I = 1; I < B.Got.size(); ++I)
    EXPECT_EQ(B.Got[I].sequence(), B.Got[I - 1].sequence() + 1);
  EXPECT_EQ(B.Got.back().sender(), "a");
  EXPECT_EQ(B.Got.back().incarnation(), 1u);
  EXPECT_EQ(B.Link->counters().ReceivedMessages, B.Got.size());
  EXPECT_EQ(A.Link->counters().SentBytes, B.Link->counters().ReceivedBytes);
  EXPECT_EQ(A.Got.size(), 0u);
}

// Guards against messages that reach the wrong one of several peers.
TEST_F(PeerLinkTest, DeliversToNamedPeerWhenThreeLinksAreConnected) {
  Node A(Context, "a");
  Node B(Context, "b");
  Node C(Context, "c");
  std::vector<PeerAddress> All{A.address(), B.address(), C.address()};
  for (Node *Each : {&A, &B, &C})
    Each->Link->setPeers(All);
  for (Node *From : {&A, &B, &C})
    for (Node *To : {&A, &B, &C})
      EXPECT_EQ(From != To, From != To && connects(*From, *To));
  A.Link->send(EntryId("c"), pull("for c"));
  ASSERT_TRUE(
      runUntil([&] { return C.Got.back().state_pull().name() == "for c"; }));
  EXPECT_NE(B.Got.back().state_pull().name(), "for c");
}

// Guards against a link that accepts entries of another venture.
TEST_F(PeerLinkTest, RefusesPeerWhenKeyDiffers) {
  Node A(Context, "a");
  Node Stranger(Context, "s", OtherKey);
  Stranger.Link->setPeers({A.address()});
  EXPECT_TRUE(runUntil([&] {
    Stranger.Link->send(EntryId("a"), pull("x"));
    return A.Link->counters().RefusedConnections > 0;
  }));
  EXPECT_EQ(A.Got.size(), 0u);
  EXPECT_EQ(Stranger.Link->counters().SentMessages, 0u);
}

// A raw client that knows the public key of the entries, with Client as its own
// key pair. Sends until a message reaches To or a connection is refused.
template <typename F>
void sendRaw(const std::string &Address, const PeerKeys &Client, F &&Run) {
  zmq::context_t Sockets;
  zmq::socket_t Dealer(Sockets, zmq::socket_type::dealer);
  Dealer.set(zmq::sockopt::linger, 0);
  Dealer.set(zmq::sockopt::immediate, true);
  Dealer.set(zmq::sockopt::curve_serverkey,
             std::get<0>(capture([] { return parsePeerKey(Key); })).Public);
  Dealer.set(zmq::sockopt::curve_publickey, Client.Public);
  Dealer.set(zmq::sockopt::curve_secretkey, Client.Secret);
  Dealer.connect("tcp://" + Address);
  peer::Envelope Message = pull("raw");
  Message.set_sender("raw");
  std::string Bytes = Message.SerializeAsString();
  Run([&] { Dealer.send(zmq::buffer(Bytes), zmq::send_flags::dontwait); });
}

// Guards against relying on the secrecy of the public key alone: the key of the
// connecting side must be checked as well. The second client, with the right
// key, shows that the first was refused for its key.
TEST_F(PeerLinkTest, RefusesClientWhenOnlyServerKeyIsKnown) {
  Node A(Context, "a");
  PeerKeys Own = std::get<0>(capture([] { return parsePeerKey(OtherKey); }));
  sendRaw(A.Link->address(), Own, [&](auto Send) {
    EXPECT_TRUE(runUntil([&] {
      Send();
      return A.Link->counters().RefusedConnections > 0;
    }));
  });
  EXPECT_EQ(A.Got.size(), 0u);
  PeerKeys Shared = std::get<0>(capture([] { return parsePeerKey(Key); }));
  sendRaw(A.Link->address(), Shared, [&](auto Send) {
    EXPECT_TRUE(runUntil([&] {
      Send();
      return !A.Got.empty();
    }));
  });
}

// Guards against peers that stay apart after one of them was replaced.
TEST_F(PeerLinkTest, ReconnectsWhenPeerRestarts) {
  Node A(Context, "a");
  auto B = std::make_unique<Node>(Context, "b");
  A.Link->setPeers({B->address()});
  ASSERT_TRUE(connects(A, *B));
  std::string Address = B->Link->address();
  B.reset();
  B = std::make_unique<Node>(Context, "b", Key, Address);
  ASSERT_NE(B->Link, nullptr);
  EXPECT_TRUE(connects(A, *B));
}

// Guards against a link that blocks, or that keeps old messages for a peer that
// doesn't answer.
TEST_F(PeerLinkTest, DropsForDeadPeerAndServesOthersWhenOnePeerIsDead) {
  Node A(Context, "a");
  Node B(Context, "b");
  std::string DeadAddress = Node(Context, "d").Link->address();
  A.Link->setPeers({B.address(), {EntryId("dead"), DeadAddress}});
  ASSERT_TRUE(connects(A, B));
  std::uint64_t Before = A.Link->counters().DroppedSending;
  std::size_t Got = B.Got.size();
  for (int I = 0; I < 40; ++I)
    A.Link->send(EntryId("dead"), pull("old"));
  A.Link->send(EntryId("b"), pull("new"));
  EXPECT_TRUE(runUntil([&] { return B.Got.size() > Got; }));
  EXPECT_EQ(A.Link->counters().DroppedSending, Before + 40);
  Node Returned(Context, "dead", Key, DeadAddress);
  ASSERT_TRUE(connects(A, Returned));
  EXPECT_EQ(Returned.Got.front().state_pull().name(), "hello");
}

// Guards against queues that grow without bound on either side.
TEST_F(PeerLinkTest, DropsAndCountsWhenQueuesAreFull) {
  Node A(Context, "a", Key, "127.0.0.1:0", 10000);
  Node B(Context, "b", Key, "127.0.0.1:0", 10);
  A.Link->setPeers({B.address()});
  ASSERT_TRUE(connects(A, B));
  B.Got.clear();
  // Nothing runs the handler here, so that B can hold 10 messages only.
  auto Limit = std::chrono::steady_clock::now() + std::chrono::seconds(5);
  while (B.Link->counters().DroppedReceiving == 0 &&
         std::chrono::steady_clock::now() < Limit)
    A.Link->send(EntryId("b"), pull("flood"));
  EXPECT_GT(B.Link->counters().DroppedReceiving, 0u);
  EXPECT_FALSE(A.Link->send(EntryId("b"), [] {
    peer::Envelope Large;
    Large.mutable_state_push()->set_value(std::string(5U << 20, 'x'));
    return Large;
  }()));
  Context.restart();
  Context.poll();
  EXPECT_GT(B.Got.size(), 0u);
}

// Guards against messages to entries that left the instance list.
TEST_F(PeerLinkTest, DropsWhenPeerWasRemoved) {
  Node A(Context, "a");
  Node B(Context, "b");
  A.Link->setPeers({B.address()});
  ASSERT_TRUE(connects(A, B));
  A.Link->setPeers({});
  std::uint64_t Before = A.Link->counters().DroppedSending;
  A.Link->send(EntryId("b"), pull("x"));
  EXPECT_TRUE(runUntil(
      [&] { return A.Link->counters().DroppedSending == Before + 1; }));
}

// Guards against a start with settings that can't work.
TEST_F(PeerLinkTest, FailsWithNumberedCodeWhenSettingsAreWrong) {
  Node Bound(Context, "a");
  struct Row {
    std::string KeyHex;
    std::string Address;
    ResultCode Code;
  };
  const std::vector<Row> Rows{
      {"77", "127.0.0.1:0", ResultCode::InvalidSettings},
      {std::string(64, 'g'), "127.0.0.1:0", ResultCode::InvalidSettings},
      {Key, "nonsense", ResultCode::InvalidSettings},
      {Key, Bound.Link->address(), ResultCode::ConnectFailed},
  };
  for (const Row &Each : Rows) {
    auto Made = capture([&] {
      return PeerLink::create(
          Context, {EntryId("b"), 1, Each.Address, Each.KeyHex}, nullptr);
    });
    ASSERT_NE(errorOf(Made), nullptr) << Each.KeyHex << " " << Each.Address;
    EXPECT_EQ(errorOf(Made)->Code, Each.Code);
  }
}

} // namespace
} // namespace samphirehill

#include "samphirehill/Routing/PrefixHints.h"

#include <gtest/gtest.h>

namespace samphirehill {
namespace {

using Candidates = std::vector<PrefixCandidate>;
const UpstreamId A("a");
const UpstreamId B("b");
const BootId Boot("1");
const std::vector<PrefixHash> Prompt = {11, 12, 13, 14};

CacheEvent stored(std::uint64_t Sequence, PrefixHash Prefix) {
  return CacheEvent{Sequence, CacheEvent::Stored, Prefix};
}
CacheEvent evicted(std::uint64_t Sequence, PrefixHash Prefix) {
  return CacheEvent{Sequence, CacheEvent::Evicted, Prefix};
}

// Guards against hashes of shared blocks that depend on the text after them,
// and against equal hashes of different blocks.
TEST(PrefixHashesTest, SharesHashesOfSharedBlocksOnly) {
  std::string Left(3 * PrefixBlockBytes + 10, 'x');
  std::string Right = Left;
  Right[2 * PrefixBlockBytes] = 'y';
  auto LeftHashes = prefixHashes(Left);
  auto RightHashes = prefixHashes(Right);
  ASSERT_EQ(LeftHashes.size(), 3u);
  EXPECT_EQ(LeftHashes[1], RightHashes[1]);
  EXPECT_NE(LeftHashes[2], RightHashes[2]);
  EXPECT_NE(prefixHashes(Left, 1)[0], LeftHashes[0]);
  EXPECT_EQ(prefixHashes(std::string(1 << 20, 'x')).size(), MaxPrefixBlocks);
}

// Guards against preferring a short match over a long one.
TEST(PrefixHintsTest, GivesLongestPrefixFirst) {
  PrefixHints Hints;
  Hints.apply(A, Boot, stored(1, 12));
  Hints.apply(B, Boot, stored(1, 11));
  Hints.apply(B, Boot, stored(2, 14));
  EXPECT_EQ(Hints.candidates(Prompt), (Candidates{{B, 4}, {A, 2}}));
}

// Guards against events that arrive late and restore a hint of a prefix that
// was evicted since.
TEST(PrefixHintsTest, IgnoresEventOlderThanLastOfPrefix) {
  PrefixHints Hints;
  Hints.apply(A, Boot, evicted(5, 12));
  Hints.apply(A, Boot, stored(3, 12));
  EXPECT_TRUE(Hints.candidates(Prompt).empty());
  Hints.apply(A, Boot, stored(6, 12));
  EXPECT_EQ(Hints.candidates(Prompt), (Candidates{{A, 2}}));
}

// Guards against giving hints full weight when evictions may have been missed.
TEST(PrefixHintsTest, HalvesHintsBeforeGap) {
  PrefixHints Hints;
  Hints.apply(A, Boot, stored(1, 14));
  Hints.apply(A, Boot, stored(7, 11));
  EXPECT_EQ(Hints.candidates(Prompt), (Candidates{{A, 2}}));
  Hints.noteGap(A, 20);
  EXPECT_EQ(Hints.candidates({11}), (Candidates{{A, 0.5}}));
}

// Guards against hints of a cache that was lost when its process ended.
TEST(PrefixHintsTest, DropsHintsOnNewBootOrRemoval) {
  PrefixHints Hints;
  Hints.apply(A, Boot, stored(9, 14));
  Hints.apply(A, BootId("2"), stored(1, 11));
  EXPECT_EQ(Hints.candidates(Prompt), (Candidates{{A, 1}}));
  Hints.apply(A, BootId("2"), stored(2, 14));
  EXPECT_EQ(Hints.candidates(Prompt), (Candidates{{A, 4}}));
  Hints.removeUpstream(A);
  EXPECT_TRUE(Hints.candidates(Prompt).empty());
  Hints.apply(B, Boot, stored(1, 12)); // reuses A's source
  EXPECT_EQ(Hints.candidates(Prompt), (Candidates{{B, 2}}));
}

// Guards against an index that grows with the number of events of the engines.
TEST(PrefixHintsTest, KeepsNewestHintsWithinBound) {
  PrefixHints Hints(100);
  for (std::uint64_t I = 1; I <= 1000; ++I)
    Hints.apply(A, Boot, stored(I, I));
  EXPECT_EQ(Hints.size(), 100u);
  EXPECT_TRUE(Hints.candidates({900}).empty());
  EXPECT_EQ(Hints.candidates({901}).size(), 1u);
  for (int I = 0; I < 50; ++I)
    Hints.apply(UpstreamId(std::to_string(I)), Boot, stored(1, 5000));
  EXPECT_EQ(Hints.candidates({5000}).size(), PrefixHints::MaxCandidates);
}

} // namespace
} // namespace samphirehill

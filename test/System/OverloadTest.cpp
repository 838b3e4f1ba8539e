// More work than the engines can do in time.
#include "Fleet.h"

namespace samphirehill::system_test {
namespace {

class OverloadTest : public Fleet {
protected:
  // Lets the entry learn how long a request takes and what it can serve.
  void learn(const std::string &Entry) {
    std::vector<StreamPtr> Streams;
    for (int Round = 0; Round < 3; ++Round) {
      Streams.clear();
      for (int I = 0; I < 12; ++I)
        Streams.push_back(stream(Entry, "learn " + std::to_string(I), 20));
      ASSERT_TRUE(ended(Streams, seconds(10)));
    }
  }
};

// Guards against requests that are held until their deadline, or run in part,
// although they can't be answered in time, and against a refusal that says not
// run and is false (I6).
TEST_F(OverloadTest, RefusesAtOnceWhatCannotBeDoneInTime) {
  form({.Zones = {"mu-1"}, .WarmLimit = 4, .MsPerToken = 10});
  std::string Entry = entryIds()[0];
  learn(Entry);
  std::int64_t Before = sum("streams");
  std::vector<StreamPtr> Streams;
  Streams.reserve(80);
  for (int I = 0; I < 80; ++I)
    Streams.push_back(stream(Entry, "flood " + std::to_string(I), 20,
                             {{"X-Deadline-Ms", "2000"}}));
  ASSERT_TRUE(ended(Streams, seconds(6)));
  int Refused = 0;
  int AtOnce = 0;
  for (const StreamPtr &Each : Streams) {
    checkAnswered(*Each);
    EXPECT_LE(Each->Ended - Each->Started, milliseconds(3000));
    if (Each->endMark())
      continue;
    if (Each->Got.run() != "not run")
      continue;
    ++Refused;
    AtOnce += Each->Ended - Each->Started < milliseconds(1000);
    EXPECT_GE(std::atoi(findHeader(Each->Got.Headers, "Retry-After").c_str()),
              1)
        << Each->Got.Body;
  }
  EXPECT_GE(Refused, 20);
  EXPECT_GE(AtOnce, Refused * 3 / 4) << "of " << Refused;
  EXPECT_EQ(sum("streams") - Before,
            static_cast<std::int64_t>(Streams.size()) - Refused)
      << "an engine saw a request whose caller was told not run";
}

// Guards against an organisation whose excess delays or displaces the others.
TEST_F(OverloadTest, ServesOthersWhenOneOrganisationSendsTenTimesItsShare) {
  form({.Zones = {"mu-1"}, .WarmLimit = 4, .MsPerToken = 5});
  std::string Entry = entryIds()[0];
  learn(Entry);
  std::vector<StreamPtr> Greedy, Modest;
  auto Going = [](const std::vector<StreamPtr> &Streams) {
    return std::count_if(Streams.begin(), Streams.end(),
                         [](const StreamPtr &Each) { return !Each->Over; });
  };
  until(
      [&] {
        while (Going(Greedy) < 40)
          Greedy.push_back(stream(Entry, "greedy", 20));
        if (Greedy.size() > 60 && Going(Modest) < 2)
          Modest.push_back(stream(Entry, "modest", 20, {}, SecondKey));
        return Modest.size() >= 30;
      },
      seconds(15));
  ASSERT_TRUE(ended(Modest, seconds(5)));
  ASSERT_GE(Modest.size(), 30u);
  std::vector<Duration> Times;
  for (const StreamPtr &Each : Modest) {
    checkWhole(*Each);
    Times.push_back(Each->Ended - Each->Started);
  }
  std::vector<Duration> Others;
  for (const StreamPtr &Each : Greedy)
    if (Each->Over)
      Others.push_back(Each->Ended - Each->Started);
  std::sort(Times.begin(), Times.end());
  std::sort(Others.begin(), Others.end());
  ASSERT_GT(Others.size(), 10u);
  // With equal treatment both would wait alike for the ten times longer queue.
  EXPECT_LT(Times[Times.size() / 2] * 2, Others[Others.size() / 2]);
}

} // namespace
} // namespace samphirehill::system_test

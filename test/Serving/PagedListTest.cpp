// Tests that the pages of a list and the changes made while they were read give
// the list as the store has it.
#include "samphirehill/Serving/PagedList.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace samphirehill::serving {
namespace {

StoredObject object(const std::string &Name, std::int64_t Revision) {
  return {Name, Revision, "v" + std::to_string(Revision)};
}

TEST(PagedListTest, LacksNoChangesWhenAllPagesAreOfOneRevision) {
  PagedList List;
  addPage(List, {{object("a", 1), false}}, 5);
  EXPECT_FALSE(mayLackChanges(List));
  addPage(List, {{object("b", 2), false}}, 5);
  EXPECT_FALSE(mayLackChanges(List));
  addPage(List, {{object("c", 6), false}}, 6);
  EXPECT_TRUE(mayLackChanges(List));
}

// A later page shows an object that was removed and created again after the
// first page was read.
TEST(PagedListTest, KeepsObjectThatIsNewerThanItsRemoval) {
  for (std::int64_t RemovalRevision : {3, 6}) {
    PagedList List;
    addPage(List, {}, 5);
    addPage(List, {{object("b", 7), false}}, 7);
    applyChanges(List, {{object("b", RemovalRevision), true}});
    EXPECT_EQ(List.Objects, std::vector<StoredObject>{object("b", 7)});
  }
}

// A store that changes between the pages.
class ChangingStore {
public:
  explicit ChangingStore(bool RemovalsHaveOwnRevision)
      : RemovalsHaveOwnRevision(RemovalsHaveOwnRevision) {}

  void change(const std::string &Name, bool Remove) {
    auto Found = Objects.find(Name);
    if (Remove && Found == Objects.end())
      return;
    ++Revision;
    if (!Remove) {
      Objects[Name] = object(Name, Revision);
      History.push_back({Objects[Name], false});
      return;
    }
    StoredObject Last = Found->second;
    if (RemovalsHaveOwnRevision)
      Last.Revision = Revision;
    History.push_back({Last, true});
    Objects.erase(Found);
  }

  std::map<std::string, StoredObject> Objects;
  std::vector<ObjectChange> History;
  std::int64_t Revision = 100;

private:
  bool RemovalsHaveOwnRevision;
};

RC_GTEST_PROP(PagedListTest, EqualsTheStoreWhateverChangesBetweenPages, ()) {
  ChangingStore Store(*rc::gen::arbitrary<bool>());
  auto ChangeSome = [&] {
    int Count = *rc::gen::inRange(0, 5);
    for (int Done = 0; Done < Count; ++Done)
      Store.change(std::string(1, *rc::gen::inRange('a', 'i')),
                   *rc::gen::arbitrary<bool>());
  };
  ChangeSome();
  ChangeSome();
  Store.History.clear();
  PagedList List;
  for (char Begin = 'a'; Begin < 'i'; Begin += 2) {
    std::vector<ObjectChange> Page;
    for (const auto &[Name, Each] : Store.Objects) {
      if (Name[0] == Begin || Name[0] == Begin + 1)
        Page.push_back({Each, false});
    }
    addPage(List, Page, Store.Revision);
    if (Begin == 'a')
      Store.History.clear();
    ChangeSome();
  }
  applyChanges(List, Store.History);
  std::sort(List.Objects.begin(), List.Objects.end(),
            [](const auto &A, const auto &B) { return A.Name < B.Name; });
  std::vector<StoredObject> Expected;
  for (const auto &[Name, Each] : Store.Objects)
    Expected.push_back(Each);
  RC_ASSERT(List.Objects == Expected);
}

} // namespace
} // namespace samphirehill::serving

#include "samphirehill/Serving/RouteTable.h"

#include "samphirehill/Serving/HttpMessage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace samphirehill::serving {
namespace {

Route route(const std::string &Host, const std::string &Prefix) {
  Route Created;
  Created.Name = Host + Prefix;
  Created.Host = Host;
  Created.PathPrefix = Prefix;
  return Created;
}

TEST(RouteTableTest, FindsLongestPrefixOfTheHost) {
  RouteTable Table = RouteTable::create(
      std::vector<Route>{route("a.example", "/x/"), route("a.example", "/x/y/"),
                         route("b.example", "/x/y/z/")});
  EXPECT_EQ(Table.find("a.example", "/x/y/z/1")->PathPrefix, "/x/y/");
  EXPECT_EQ(Table.find("A.example:80", "/x/1?q=/y/")->PathPrefix, "/x/");
  EXPECT_EQ(Table.find("c.example", "/x/"), nullptr);
  EXPECT_EQ(Table.find("a.example", "/x"), nullptr);
}

TEST(RouteTableTest, ComparesRoutesByValue) {
  std::vector<Route> Routes = {route("a", "/x/"), route("b", "/")};
  RouteTable Table = RouteTable::create(Routes);
  EXPECT_EQ(Table, RouteTable::create(Routes));
  EXPECT_EQ(Table, RouteTable::create(Table.routes()));
  Routes[1].Priority = 1;
  EXPECT_NE(Table, RouteTable::create(Routes));
  EXPECT_NE(Table, RouteTable());
}

// A copy must find routes after the table it was copied from is destroyed.
TEST(RouteTableTest, OutlivesTheTableItWasCopiedFrom) {
  RouteTable Copy;
  {
    RouteTable First = RouteTable::create(
        std::vector<Route>{route("host-with-a-long-name.example", "/path/")});
    Copy = First;
  }
  const Route *Found = Copy.find("host-with-a-long-name.example", "/path/1");
  ASSERT_NE(Found, nullptr);
  EXPECT_EQ(Found->PathPrefix, "/path/");
}

// The reference implementation: searches all routes one after the other.
const Route *findBySearch(const std::vector<Route> &Routes,
                          std::string_view Host, std::string_view Path) {
  std::string_view Name = Host.substr(0, Host.find(':'));
  Path = Path.substr(0, Path.find('?'));
  const Route *Found = nullptr;
  for (const Route &Each : Routes) {
    if (!Path.starts_with(Each.PathPrefix) ||
        !equalsIgnoringCase(Each.Host, Name))
      continue;
    if (!Found || Each.PathPrefix.size() > Found->PathPrefix.size())
      Found = &Each;
  }
  return Found;
}

rc::Gen<std::string> pathText() {
  return rc::gen::container<std::string>(rc::gen::element('/', 'a', 'b', '?'));
}

rc::Gen<std::string> hostText() {
  return rc::gen::element<std::string>("h", "H", "h:80", "other.example",
                                       "Other.Example:8080", "");
}

RC_GTEST_PROP(RouteTableTest, FindsWhatASearchOfAllRoutesFinds, ()) {
  std::vector<Route> Routes;
  int Count = *rc::gen::inRange(0, 30);
  for (int Number = 0; Number < Count; ++Number) {
    std::string Host = *hostText();
    Routes.push_back(route(Host.substr(0, Host.find(':')), *pathText()));
    Routes.back().Name = std::to_string(Number);
  }
  RouteTable Table = RouteTable::create(Routes);
  for (int Number = 0; Number < 20; ++Number) {
    std::string Host = *hostText();
    std::string Path = *pathText();
    const Route *Expected = findBySearch(Routes, Host, Path);
    const Route *Found = Table.find(Host, Path);
    RC_ASSERT((Expected == nullptr) == (Found == nullptr));
    if (Expected)
      RC_ASSERT(Expected->Name == Found->Name);
  }
}

} // namespace
} // namespace samphirehill::serving

#include "samphirehill/Serving/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <utility>

namespace samphirehill::serving {
namespace {

std::string lowerCase(std::string_view Text) {
  std::string Lower(Text);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char Character) {
    return static_cast<char>(
        std::tolower(static_cast<unsigned char>(Character)));
  });
  return Lower;
}

} // namespace

RouteTable RouteTable::create(std::vector<SharedRoute> Routes) {
  RouteTable Created;
  Created.Routes = std::move(Routes);
  for (const SharedRoute &Each : Created.Routes) {
    HostRoutes &OfHost = Created.ByHost[lowerCase(Each->Host)];
    bool Added =
        OfHost.ByPrefix.try_emplace(Each->PathPrefix, Each.get()).second;
    if (Added)
      OfHost.Lengths.push_back(Each->PathPrefix.size());
  }
  for (auto &[Host, OfHost] : Created.ByHost) {
    std::vector<std::size_t> &Lengths = OfHost.Lengths;
    std::sort(Lengths.begin(), Lengths.end(), std::greater<>());
    Lengths.erase(std::unique(Lengths.begin(), Lengths.end()), Lengths.end());
  }
  return Created;
}

RouteTable RouteTable::create(const std::vector<Route> &Routes) {
  std::vector<SharedRoute> Shared;
  Shared.reserve(Routes.size());
  for (const Route &Each : Routes)
    Shared.push_back(std::make_shared<const Route>(Each));
  return create(std::move(Shared));
}

const Route *RouteTable::find(std::string_view Host,
                              std::string_view Path) const {
  auto OfHost = ByHost.find(lowerCase(Host.substr(0, Host.find(':'))));
  if (OfHost == ByHost.end())
    return nullptr;
  Path = Path.substr(0, Path.find('?'));
  for (std::size_t Length : OfHost->second.Lengths) {
    if (Length > Path.size())
      continue;
    auto Found = OfHost->second.ByPrefix.find(Path.substr(0, Length));
    if (Found != OfHost->second.ByPrefix.end())
      return Found->second;
  }
  return nullptr;
}

bool RouteTable::operator==(const RouteTable &Other) const {
  return std::equal(Routes.begin(), Routes.end(), Other.Routes.begin(),
                    Other.Routes.end(),
                    [](const SharedRoute &A, const SharedRoute &B) {
                      return A == B || *A == *B;
                    });
}

} // namespace samphirehill::serving

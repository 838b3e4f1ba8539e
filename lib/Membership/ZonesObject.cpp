#include "samphirehill/Membership/SharedState.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace samphirehill {
namespace {

using Json = nlohmann::json;

Json itemJson(const SharedItem &Item) {
  return Json{
      {"state", Item.Value},
      {"stamp",
       {{"counter", Item.Version.Counter}, {"operator", Item.Version.Origin}}}};
}

SharedItem parseItem(SharedKey Key, const Json &Value) {
  const Json &Stamp = Value.at("stamp");
  return SharedItem{std::move(Key),
                    {Stamp.at("counter").get<std::uint64_t>(),
                     Stamp.at("operator").get<std::string>()},
                    Value.at("state").get<std::string>()};
}

} // namespace

std::string zonesObjectText(const std::vector<SharedItem> &Items) {
  Json Object{{"zones", Json::object()}};
  for (const SharedItem &Item : Items) {
    if (Item.Key.Kind == ZoneKind)
      Object["zones"][Item.Key.Name] = itemJson(Item);
    else if (Item.Key.Kind == CloseKind)
      Object["close"] = itemJson(Item);
  }
  return Object.dump();
}

Result<std::vector<SharedItem>> parseZonesObject(const std::string &Text) {
  try {
    Json Object = Json::parse(Text);
    std::vector<SharedItem> Items;
    for (const auto &[Zone, Value] : Object.at("zones").items())
      Items.push_back(parseItem({ZoneKind, Zone}, Value));
    if (Object.contains("close"))
      Items.push_back(parseItem({CloseKind, CloseName}, Object.at("close")));
    return Items;
  } catch (const Json::exception &Caught) {
    return fail(ResultCode::BadAnswer,
                std::string("object zones/state: ") + Caught.what());
  }
}

} // namespace samphirehill

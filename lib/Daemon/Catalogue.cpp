#include "samphirehill/Daemon/Catalogue.h"

#include "samphirehill/Config/Secret.h"

#include <algorithm>
#include <utility>

namespace samphirehill {

bool Catalogue::put(OperatorsText Text, std::uint64_t Version) {
  Entry &Held = ByOperator[Text.operatorName()];
  if (Version <= Held.Version)
    return false;
  Held.Version = Version;
  Held.Text = std::make_shared<const OperatorsText>(std::move(Text));
  index();
  return true;
}

void Catalogue::index() {
  ByKey.clear();
  for (const auto &[Name, Held] : ByOperator)
    for (const Organisation &Each : Held.Text->organisations())
      for (const std::string &Digest : Each.KeyDigests)
        ByKey[Digest] = Caller{Held.Text, &Each};
}

std::uint64_t Catalogue::version(const std::string &Operator) const {
  auto Found = ByOperator.find(Operator);
  return Found == ByOperator.end() ? 0 : Found->second.Version;
}

std::vector<std::shared_ptr<const OperatorsText>> Catalogue::texts() const {
  std::vector<std::shared_ptr<const OperatorsText>> All;
  for (const auto &[Name, Held] : ByOperator)
    All.push_back(Held.Text);
  return All;
}

Caller Catalogue::findCaller(std::string_view ApiKey) const {
  auto Found = ByKey.find(sha256Hex(ApiKey));
  return Found == ByKey.end() ? Caller{} : Found->second;
}

std::shared_ptr<const OperatorsText>
Catalogue::textOfService(const ServiceId &Name) const {
  for (const auto &[Operator, Held] : ByOperator)
    if (Held.Text->findService(Name))
      return Held.Text;
  return nullptr;
}

const Service *findModel(const Caller &Who, std::string_view Model) {
  std::string_view Base = Model.substr(0, Model.find(':'));
  std::string_view Adapter =
      Base.size() == Model.size() ? "" : Model.substr(Base.size() + 1);
  for (const Service &Each : Who.Text->services()) {
    if (Each.Kind != ServiceKind::Model || Each.Model != Base)
      continue;
    if (!Who.Text->mayCall(*Who.Who, Each.Name))
      continue;
    if (Adapter.empty() ||
        std::ranges::find(Each.Adapters, Adapter) != Each.Adapters.end())
      return &Each;
  }
  return nullptr;
}

std::vector<std::string> modelNames(const Caller &Who) {
  std::vector<std::string> Names;
  for (const Service &Each : Who.Text->services()) {
    if (Each.Kind != ServiceKind::Model ||
        !Who.Text->mayCall(*Who.Who, Each.Name))
      continue;
    Names.push_back(Each.Model);
    for (const std::string &Adapter : Each.Adapters)
      Names.push_back(Each.Model + ":" + Adapter);
  }
  return Names;
}

} // namespace samphirehill

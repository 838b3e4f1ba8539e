#include "samphirehill/Serving/PagedList.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphirehill::serving {
namespace {

// Returns whether Listed already includes Change. A removal may carry the
// revision of the object's last change.
bool includes(const StoredObject &Listed, const ObjectChange &Change) {
  return Change.Object.Revision < Listed.Revision ||
         (Change.Object.Revision == Listed.Revision && !Change.Removed);
}

} // namespace

void addPage(PagedList &List, std::vector<ObjectChange> Page,
             std::int64_t Revision) {
  if (List.FirstRevision == 0)
    List.FirstRevision = Revision;
  List.LastRevision = Revision;
  for (ObjectChange &Each : Page)
    List.Objects.push_back(std::move(Each.Object));
}

bool mayLackChanges(const PagedList &List) {
  return List.LastRevision != List.FirstRevision;
}

void applyChanges(PagedList &List, const std::vector<ObjectChange> &Changes) {
  for (const ObjectChange &Each : Changes) {
    auto Found = std::find_if(List.Objects.begin(), List.Objects.end(),
                              [&](const StoredObject &Listed) {
                                return Listed.Name == Each.Object.Name;
                              });
    bool IsListed = Found != List.Objects.end();
    if (IsListed && includes(*Found, Each))
      continue;
    if (IsListed && Each.Removed)
      List.Objects.erase(Found);
    else if (IsListed)
      *Found = Each.Object;
    else if (!Each.Removed)
      List.Objects.push_back(Each.Object);
  }
}

} // namespace samphirehill::serving

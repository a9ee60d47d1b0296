#include "filbertvane/config/SheetDelta.h"
#include <map>

namespace filbertvane::config {

namespace {

template <typename Spec, typename Name>
void appendDifferences(const std::vector<Spec> &From,
                       const std::vector<Spec> &To, std::vector<Spec> &Changed,
                       std::vector<Name> &Removed) {
  auto Old = From.begin();
  for (const Spec &New : To) {
    for (; Old != From.end() && Old->Name < New.Name; ++Old)
      Removed.push_back(Old->Name);
    const bool Known = Old != From.end() && Old->Name == New.Name;
    if (!Known || *Old != New)
      Changed.push_back(New);
    if (Known)
      ++Old;
  }
  for (; Old != From.end(); ++Old)
    Removed.push_back(Old->Name);
}

// Uses a map, because a delta that was read from the log may be unsorted.
template <typename Spec, typename Name>
std::vector<Spec> merged(const std::vector<Spec> &From,
                         const std::vector<Spec> &Changed,
                         const std::vector<Name> &Removed) {
  std::map<Name, Spec> Specs;
  for (const Spec &Each : From)
    Specs.insert_or_assign(Each.Name, Each);
  for (const Name &Each : Removed)
    Specs.erase(Each);
  for (const Spec &Each : Changed)
    Specs.insert_or_assign(Each.Name, Each);
  std::vector<Spec> Out;
  Out.reserve(Specs.size());
  for (auto &[Key, Each] : Specs)
    Out.push_back(std::move(Each));
  return Out;
}

} // namespace

SheetDelta computeDelta(const Sheet &From, const Sheet &To) {
  SheetDelta Delta;
  appendDifferences(From.Services, To.Services, Delta.ChangedServices,
                    Delta.RemovedServices);
  appendDifferences(From.Routes, To.Routes, Delta.ChangedRoutes,
                    Delta.RemovedRoutes);
  return Delta;
}

Sheet applyDelta(const Sheet &From, const SheetDelta &Delta) {
  Sheet To;
  To.Base = From.Base;
  To.Services =
      merged(From.Services, Delta.ChangedServices, Delta.RemovedServices);
  To.Routes = merged(From.Routes, Delta.ChangedRoutes, Delta.RemovedRoutes);
  return To;
}

} // namespace filbertvane::config

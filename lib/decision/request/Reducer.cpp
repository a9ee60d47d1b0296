#include "filbertvane/decision/request/Reducer.h"
#include "Reduction.h"

namespace filbertvane::decision::request {

StateFields::StateFields(Settings Own)
    : Own(std::move(Own)), Source(this->Own.Seed) {}

VersionPool *ServiceState::poolOf(const core::TargetVersion &Version) {
  for (VersionPool &Pool : Pools)
    if (Pool.Version == Version)
      return &Pool;
  return nullptr;
}

Call *Reduction::find(core::CallId Id) {
  const auto Found = Next.Calls.find(Id);
  return Found == Next.Calls.end() ? nullptr : &Found->second;
}

ServiceState *Reduction::serviceOf(const Call &Which) {
  const auto Found = Next.Services.find(Which.Route->Service);
  return Found == Next.Services.end() ? nullptr : &Found->second;
}

void Reduction::log(observe::EventId Id, std::string Detail) {
  Out.emplace_back(observe::LogEvent{Id, std::move(Detail)});
}

Step<State, Effects> reduce(State Before, const Event &What,
                            core::Instant Now) {
  Effects Out;
  Reduction Run(*Before, Out, Now);
  std::visit(Run, What);
  return {std::move(Before), std::move(Out)};
}

} // namespace filbertvane::decision::request

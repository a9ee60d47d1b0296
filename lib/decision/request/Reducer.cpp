#include "filbertvane/decision/request/Reducer.h"
#include "Reduction.h"

namespace filbertvane::decision::request {

StateFields::StateFields(Settings Own)
    : Config(std::move(Own)), Rng(this->Config.Seed) {}

VersionPool *ServiceState::poolOf(const core::TargetVersion &Version) {
  for (VersionPool &Pool : Pools)
    if (Pool.Version == Version)
      return &Pool;
  return nullptr;
}

Call *Reduction::find(core::CallId Id) {
  const auto Found = Fields.Calls.find(Id);
  return Found == Fields.Calls.end() ? nullptr : &Found->second;
}

ServiceState *Reduction::serviceOf(const Call &Which) {
  const auto Found = Fields.Services.find(Which.Route->Service);
  return Found == Fields.Services.end() ? nullptr : &Found->second;
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

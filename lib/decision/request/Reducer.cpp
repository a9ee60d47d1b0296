#include "filbertvane/decision/request/Reducer.h"
#include "Reduction.h"

namespace filbertvane::decision::request {

StateFields::StateFields(Settings InitialConfig)
    : Config(std::move(InitialConfig)), Rng(this->Config.Seed) {}

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

ServiceState *Reduction::serviceOf(const Call &ActiveCall) {
  const auto Found = Fields.Services.find(ActiveCall.Route->Service);
  return Found == Fields.Services.end() ? nullptr : &Found->second;
}

void Reduction::log(observe::EventId Id, std::string Detail) {
  Out.emplace_back(observe::LogEvent{Id, std::move(Detail)});
}

Step<State, Effects> reduce(State Current, const Event &Input,
                            core::Instant Now) {
  Effects Out;
  Reduction Run(*Current, Out, Now);
  std::visit(Run, Input);
  return {std::move(Current), std::move(Out)};
}

} // namespace filbertvane::decision::request

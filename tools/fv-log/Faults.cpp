#include "Faults.h"
#include <map>
#include <nlohmann/json.hpp>

namespace filbertvane::tools {

std::optional<FaultPlan> parseFaults(const std::string &Text) {
  static const std::map<std::string, FaultMode> Modes = {
      {"none", FaultMode::None},
      {"outage", FaultMode::Outage},
      {"slow", FaultMode::Slow},
      {"lose_acknowledgement", FaultMode::LoseAcknowledgement}};
  const auto Json = nlohmann::json::parse(Text, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  try {
    const auto Mode = Modes.find(Json.value("mode", ""));
    const std::int64_t Delay = Json.value("delay_ms", std::int64_t{0});
    const double Rate = Json.value("rate", 1.0);
    if (Mode == Modes.end() || Delay < 0 || Delay > 3600000 || Rate < 0 ||
        Rate > 1)
      return std::nullopt;
    return FaultPlan{Mode->second, core::Milliseconds(Delay), Rate};
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

} // namespace filbertvane::tools

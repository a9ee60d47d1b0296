#include "filbertvane/decision/mesh/SplitSelector.h"

namespace filbertvane::decision::mesh {

const core::ServiceName &
SplitSelector::next(const std::vector<config::WeightedService> &Parts) {
  double Sum = 0;
  for (const config::WeightedService &Part : Parts)
    Sum += Part.Weight;
  if (Credits.size() != Parts.size()) {
    // The credits sum to zero, so that one of them is positive at each choice.
    Credits.assign(Parts.size(), 0);
    Credits.front() += Phase * Sum;
    Credits.back() -= Phase * Sum;
  }
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Parts.size(); ++I) {
    Credits[I] += Parts[I].Weight;
    if (Parts[I].Weight > 0 && (!Best || Credits[I] > Credits[*Best]))
      Best = I;
  }
  if (!Best)
    return Parts.front().Service;
  Credits[*Best] -= Sum;
  return Parts[*Best].Service;
}

} // namespace filbertvane::decision::mesh

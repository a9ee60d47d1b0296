#include "filbertvane/decision/mesh/SplitSelector.h"

namespace filbertvane::decision::mesh {

const core::ServiceName &
SplitSelector::next(const std::vector<config::WeightedService> &Services) {
  double TotalWeight = 0;
  for (const config::WeightedService &Service : Services)
    TotalWeight += Service.Weight;
  if (Credits.size() != Services.size()) {
    // The credits sum to zero, so that at each choice one of them is positive.
    Credits.assign(Services.size(), 0);
    Credits.front() += Phase * TotalWeight;
    Credits.back() -= Phase * TotalWeight;
  }
  std::optional<std::size_t> Best;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    Credits[I] += Services[I].Weight;
    if (Services[I].Weight > 0 && (!Best || Credits[I] > Credits[*Best]))
      Best = I;
  }
  if (!Best)
    return Services.front().Service;
  Credits[*Best] -= TotalWeight;
  return Services[*Best].Service;
}

} // namespace filbertvane::decision::mesh

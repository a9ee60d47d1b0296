#ifndef FILBERTVANE_LIB_CONFIG_YAMLDOCUMENTS_H
#define FILBERTVANE_LIB_CONFIG_YAMLDOCUMENTS_H

#include <string>

namespace filbertvane::config {

/// @brief Whether a text contains a second YAML document.
///
/// `YAML::Load` ignores further documents, and `YAML::LoadAll` of yaml-cpp 0.7
/// does not terminate for some texts, for example a single comma.
/// @throws YAML::Exception for a text that is not valid YAML
bool hasSecondDocument(const std::string &Text);

} // namespace filbertvane::config

#endif // FILBERTVANE_LIB_CONFIG_YAMLDOCUMENTS_H

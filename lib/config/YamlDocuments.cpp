#include "YamlDocuments.h"
#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace filbertvane::config {

namespace {

/// Event handler that discards the content of a document.
class DiscardingHandler : public YAML::EventHandler {
public:
  void OnDocumentStart(const YAML::Mark &) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark &, YAML::anchor_t) override {}
  void OnAlias(const YAML::Mark &, YAML::anchor_t) override {}
  void OnScalar(const YAML::Mark &, const std::string &, YAML::anchor_t,
                const std::string &) override {}
  void OnSequenceStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                       YAML::EmitterStyle::value) override {}
  void OnSequenceEnd() override {}
  void OnMapStart(const YAML::Mark &, const std::string &, YAML::anchor_t,
                  YAML::EmitterStyle::value) override {}
  void OnMapEnd() override {}
};

} // namespace

bool hasSecondDocument(const std::string &Text) {
  std::istringstream Input(Text);
  YAML::Parser Parser(Input);
  DiscardingHandler Handler;
  return Parser.HandleNextDocument(Handler) &&
         Parser.HandleNextDocument(Handler);
}

} // namespace filbertvane::config

#ifndef FILBERTVANE_TOOLS_FV_LOAD_PROBE_H
#define FILBERTVANE_TOOLS_FV_LOAD_PROBE_H

#include "Generator.h"

namespace filbertvane::tools {

/// @brief One request of the load generator and the check of its answer.
class Probe final : public io::ClientHandler {
public:
  Probe(Generator &Owner, std::string Token, std::string Key,
        core::TimePoint Intended);

  void begin(const std::string &Url);
  const std::string &key() const { return Key; }
  core::TimePoint intended() const { return Intended; }

  void onHead(const io::ResponseHead &Got) override { Head = Got; }
  void onBody(std::string_view Part) override;
  void onSendable() override { pour(); }
  void onEnd(io::ClientEnd End) override;

private:
  Verdict judge(io::ClientEnd End) const;
  void pour();

  Generator &Owner;
  std::string Token;
  std::string Key;
  core::TimePoint Intended;
  std::unique_ptr<io::ClientRequest> Request;
  io::ResponseHead Head;
  std::size_t Expected = 0;
  std::size_t BodyBytes = 0;
  std::size_t Written = 0;
  std::size_t Received = 0;
  bool Differs = false;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LOAD_PROBE_H

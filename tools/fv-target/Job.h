#ifndef FILBERTVANE_TOOLS_FV_TARGET_JOB_H
#define FILBERTVANE_TOOLS_FV_TARGET_JOB_H

#include "Target.h"

namespace filbertvane::tools {

/// @brief One request on the target stand-in.
class Job final : public io::ExchangeHandler {
public:
  Job(Target &Owner, io::ServerExchange &Exchange);
  ~Job() override;

  void onBody(std::string_view Part) override;
  void onBodyEnd() override;
  void onWritable() override { pour(); }
  void onClosed(bool Whole) override;

private:
  bool answersControlPath();
  void finishWork();
  void pour();

  Target &Owner;
  io::ServerExchange &Exchange;
  io::Timer Work;
  std::string Body;
  std::string Token;
  std::size_t AnswerBytes = 0;
  std::size_t Written = 0;
  bool Streaming = false;
  bool Holding = false;
  bool TooLarge = false;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_TARGET_JOB_H

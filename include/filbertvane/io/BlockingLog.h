#ifndef FILBERTVANE_IO_BLOCKINGLOG_H
#define FILBERTVANE_IO_BLOCKINGLOG_H

#include "filbertvane/core/Time.h"
#include "filbertvane/io/LogAnswer.h"

namespace filbertvane::io {

/// @brief Status and body of an HTTP answer; status 0 when none came.
struct BlockingAnswer {
  int Status = 0;
  std::string Body;
};

/// @brief Sends a GET request and waits for the answer (command line only).
BlockingAnswer blockingGet(const std::string &Url, core::Milliseconds Timeout);

/// @brief Sends a POST request and waits for the answer (command line only).
BlockingAnswer blockingPost(const std::string &Url, const std::string &Body,
                            core::Milliseconds Timeout);

/// @brief One stream of the platform log for the command line, which has no
///        loop. Never used by the node.
class BlockingLog {
public:
  BlockingLog(std::string Url, std::string Stream)
      : Url(std::move(Url)), Stream(std::move(Stream)) {}

  core::Result<core::LogOffset> append(const std::string &Bytes);
  core::Result<LogRead> read(core::LogOffset From, core::Milliseconds Wait);
  /// @brief Waits before the log is tried again after a failure.
  void pause();

private:
  std::string Url;
  std::string Stream;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_BLOCKINGLOG_H

#ifndef FILBERTVANE_TOOLS_FV_LOG_LOGSERVICE_H
#define FILBERTVANE_TOOLS_FV_LOG_LOGSERVICE_H

#include "Faults.h"
#include "LogStore.h"
#include <optional>
#include <string>
#include <variant>

namespace filbertvane::tools {

/// Largest record that is accepted.
inline constexpr std::size_t MaxRecordBytes = std::size_t{256} * 1024;

/// @brief A whole request, independent of the HTTP library.
struct Request {
  std::string Method;
  std::string Path;
  std::string Body;
  bool BodyTooLarge = false;
  std::string From;
  std::string WaitMs;
  std::string MaxBytes;
};

/// @brief Answer with a status, sent at a time.
struct Answer {
  int Status = 200;
  std::string Type;
  std::string Body;
  core::TimePoint NotBefore;
};
/// @brief Close the connection without an answer.
struct Drop {};
/// @brief Ask again when the stream has grown or the time has come.
struct Wait {
  std::string Stream;
  core::TimePoint Until;
};
using Reply = std::variant<Answer, Drop, Wait>;

/// @brief Behaviour of the platform log towards its clients.
class LogService {
public:
  explicit LogService(const LogLimits &Limits) : Store(Limits) {}

  /// @brief Handles a request.
  /// @param Arrived time at which it came; the wait counts from there
  Reply handle(const Request &Asked, core::TimePoint Arrived,
               core::TimePoint Now);

private:
  Reply append(const Request &Asked, const std::string &Stream,
               core::TimePoint Now);
  Reply read(const Request &Asked, const std::string &Stream,
             core::TimePoint Arrived, core::TimePoint Now);
  Answer setFaults(const std::string &Body);
  Answer stats() const;

  LogStore Store;
  FaultDice Faults;
};

} // namespace filbertvane::tools

#endif // FILBERTVANE_TOOLS_FV_LOG_LOGSERVICE_H

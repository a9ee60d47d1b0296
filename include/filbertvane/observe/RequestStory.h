#ifndef FILBERTVANE_OBSERVE_REQUESTSTORY_H
#define FILBERTVANE_OBSERVE_REQUESTSTORY_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace filbertvane::observe {

/// @brief A line of a process's log, taken apart.
struct LogLine {
  std::int64_t WallMs = 0;
  std::string Node;
  int Event = 0;
  /// Fields of the event, for example `reason`.
  std::map<std::string, std::string> Fields;

  friend auto operator<=>(const LogLine &, const LogLine &) = default;
};

/// @brief Takes a log line apart.
/// @return none for a line that is cut or of another writer
std::optional<LogLine> parseLogLine(std::string_view Text);

/// @brief What the logs say of one request.
struct RequestStory {
  std::string RequestId;
  /// Lines about the request, by time.
  std::vector<LogLine> Steps;
  /// Lines that could not be read.
  std::size_t Unreadable = 0;
  /// Lines that processes left out, as they say themselves.
  std::uint64_t LeftOut = 0;

  friend auto operator<=>(const RequestStory &, const RequestStory &) = default;
};

/// @brief Collects the lines about a request from the logs of processes.
/// Complexity: linear in the bytes of the logs.
RequestStory collectStory(const std::string &RequestId,
                          const std::vector<std::string> &Logs);

/// @name Reports
/// @{
/// @brief In words, one step a line; says what is missing.
std::string storyText(const RequestStory &Story);
std::string storyJson(const RequestStory &Story);
/// @}

} // namespace filbertvane::observe

#endif // FILBERTVANE_OBSERVE_REQUESTSTORY_H

#ifndef FILBERTVANE_IO_LOGCLIENT_H
#define FILBERTVANE_IO_LOGCLIENT_H

#include "filbertvane/io/HttpClient.h"
#include "filbertvane/io/LogAnswer.h"

namespace filbertvane::io {

/// @brief Asynchronous client of the platform log.
///
/// A callback is called once, from the loop, also after the client has been
/// destroyed, as long as the HTTP client exists.
class LogClient {
public:
  using AppendDone = std::function<void(core::Result<core::LogOffset>)>;
  using ReadDone = std::function<void(core::Result<LogRead>)>;

  /// @param Http must outlive the client
  /// @param Url `http://ip:port` of the log
  LogClient(HttpClient &Http, std::string Url)
      : Http(Http), Url(std::move(Url)) {}

  /// @brief Appends a record.
  /// @param Deadline time at which the append counts as unanswered
  /// @param OnDone offset, or error as of `parseAppend`
  void append(const std::string &Stream, std::string Bytes,
              core::TimePoint Deadline, AppendDone OnDone);

  /// @brief Reads records from an offset on; the log holds the answer back for
  ///        up to `Wait` when there is none.
  /// @param Now current time
  /// @param OnDone records, or error as of `parseRead`
  void read(const std::string &Stream, core::LogOffset From,
            core::Milliseconds Wait, std::size_t MaxBytes, core::TimePoint Now,
            ReadDone OnDone);

  /// Time allowed for a read beyond its wait.
  static constexpr core::Milliseconds ReadAllowance{2000};

private:
  HttpClient &Http;
  std::string Url;
};

} // namespace filbertvane::io

#endif // FILBERTVANE_IO_LOGCLIENT_H

#include "filbertvane/io/LogClient.h"

namespace filbertvane::io {

namespace {

/// Status of an answer that came in whole; a part of one counts as none.
int wholeStatus(ClientEnd End, int Status) {
  return End == ClientEnd::Complete ? Status : 0;
}

} // namespace

void LogClient::append(const std::string &Stream, std::string Bytes,
                       core::TimePoint Deadline, AppendDone OnDone) {
  HttpClient::Request What;
  What.Method = "POST";
  What.Url = appendUrl(Url, Stream);
  What.ContentLength = Bytes.size();
  What.Deadline = Deadline;
  Http.fetch(std::move(What), std::move(Bytes),
             [Done = std::move(OnDone)](ClientEnd End, int Status,
                                        const std::string &Body) {
               Done(parseAppend(wholeStatus(End, Status), Body));
             });
}

void LogClient::read(const std::string &Stream, core::LogOffset From,
                     core::Milliseconds Wait, std::size_t MaxBytes,
                     core::TimePoint Now, ReadDone OnDone) {
  HttpClient::Request What;
  What.Url = readUrl(Url, Stream, From,
                     static_cast<std::uint64_t>(Wait.count()), MaxBytes);
  What.Deadline = Now + Wait + ReadAllowance;
  Http.fetch(std::move(What), "",
             [Done = std::move(OnDone)](ClientEnd End, int Status,
                                        const std::string &Body) {
               Done(parseRead(wholeStatus(End, Status), Body));
             });
}

} // namespace filbertvane::io

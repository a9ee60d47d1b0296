#include "filbertvane/io/BlockingLog.h"
#include <curl/curl.h>
#include <memory>
#include <thread>

namespace filbertvane::io {

namespace {

constexpr core::Milliseconds AppendTimeout{3000};
constexpr core::Milliseconds ReadAllowance{3000};
constexpr core::Milliseconds PauseAfterFailure{500};
constexpr std::size_t MaxBytesPerRead = std::size_t{1024} * 1024;
/// Above the largest answer to a read: one batch and one more record.
constexpr std::size_t MaxAnswerBytes = std::size_t{8} * 1024 * 1024;

using Handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;

std::size_t collect(const char *Part, std::size_t Size, std::size_t Count,
                    void *Into) {
  std::string &Body = *static_cast<std::string *>(Into);
  if (Body.size() + Size * Count > MaxAnswerBytes)
    return 0;
  Body.append(Part, Size * Count);
  return Size * Count;
}

BlockingAnswer perform(CURL *Curl, const std::string &Url,
                       core::Milliseconds Timeout) {
  BlockingAnswer Out;
  curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
  curl_easy_setopt(Curl, CURLOPT_NOSIGNAL, 1L);
  // A proxy of the environment is meant for other addresses.
  curl_easy_setopt(Curl, CURLOPT_PROXY, "");
  curl_easy_setopt(Curl, CURLOPT_TIMEOUT_MS,
                   static_cast<long>(Timeout.count()));
  curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, &collect);
  curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Out.Body);
  if (curl_easy_perform(Curl) != CURLE_OK)
    return {};
  long Status = 0;
  curl_easy_getinfo(Curl, CURLINFO_RESPONSE_CODE, &Status);
  Out.Status = static_cast<int>(Status);
  return Out;
}

} // namespace

BlockingAnswer blockingGet(const std::string &Url, core::Milliseconds Timeout) {
  const Handle Curl(curl_easy_init(), &curl_easy_cleanup);
  return perform(Curl.get(), Url, Timeout);
}

BlockingAnswer blockingPost(const std::string &Url, const std::string &Body,
                            core::Milliseconds Timeout) {
  const Handle Curl(curl_easy_init(), &curl_easy_cleanup);
  curl_easy_setopt(Curl.get(), CURLOPT_POSTFIELDS, Body.data());
  curl_easy_setopt(Curl.get(), CURLOPT_POSTFIELDSIZE_LARGE,
                   static_cast<curl_off_t>(Body.size()));
  return perform(Curl.get(), Url, Timeout);
}

core::Result<core::LogOffset> BlockingLog::append(const std::string &Bytes) {
  const BlockingAnswer Out =
      blockingPost(appendUrl(Url, Stream), Bytes, AppendTimeout);
  return parseAppend(Out.Status, Out.Body);
}

core::Result<LogRead> BlockingLog::read(core::LogOffset From,
                                        core::Milliseconds Wait) {
  const auto WaitMs = static_cast<std::uint64_t>(Wait.count());
  const BlockingAnswer Out =
      blockingGet(readUrl(Url, Stream, From, WaitMs, MaxBytesPerRead),
                  Wait + ReadAllowance);
  return parseRead(Out.Status, Out.Body);
}

void BlockingLog::pause() { std::this_thread::sleep_for(PauseAfterFailure); }

} // namespace filbertvane::io

#include "LogService.h"
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace filbertvane::tools {

namespace {

using nlohmann::json;

constexpr std::string_view StreamsPath = "/streams/";
constexpr std::size_t MaxNameBytes = 64;
constexpr std::uint64_t MaxWaitMs = 60000;
constexpr std::uint64_t DefaultMaxBytes = std::uint64_t{1024} * 1024;
constexpr std::uint64_t LargestAnswer = std::uint64_t{4} * 1024 * 1024;

Answer jsonAnswer(int Status, const json &Body) {
  return {Status, "application/json", Body.dump() + "\n", {}};
}

Answer cborAnswer(int Status, const json &Body) {
  const std::vector<std::uint8_t> Bytes = json::to_cbor(Body);
  return {Status, "application/cbor", {Bytes.begin(), Bytes.end()}, {}};
}

Answer badRequest(const char *Why) { return jsonAnswer(400, {{"error", Why}}); }

std::optional<std::uint64_t> numberIn(const std::string &Text,
                                      std::uint64_t Default) {
  if (Text.empty())
    return Default;
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Problem] = std::from_chars(Text.data(), End, Number);
  if (Problem != std::errc() || Rest != End)
    return std::nullopt;
  return Number;
}

bool isStreamName(std::string_view Name) {
  const auto IsAllowed = [](unsigned char Each) {
    return std::isalnum(Each) || Each == '.' || Each == '-' || Each == '_';
  };
  return !Name.empty() && Name.size() <= MaxNameBytes &&
         std::all_of(Name.begin(), Name.end(), IsAllowed);
}

} // namespace

Reply LogService::handle(const Request &Asked, core::TimePoint Arrived,
                         core::TimePoint Now) {
  if (Asked.Method == "POST" && Asked.Path == "/faults")
    return setFaults(Asked.Body);
  if (Asked.Method == "GET" && Asked.Path == "/stats")
    return stats();
  if (!Asked.Path.starts_with(StreamsPath))
    return jsonAnswer(404, {{"error", "no such path"}});
  const std::string Stream = Asked.Path.substr(StreamsPath.size());
  if (!isStreamName(Stream))
    return badRequest("stream name");
  if (Faults.strikes(FaultMode::Outage))
    return Drop{};
  if (Asked.Method == "POST")
    return append(Asked, Stream, Now);
  if (Asked.Method == "GET")
    return read(Asked, Stream, Arrived, Now);
  return jsonAnswer(405, {{"error", "method"}});
}

Reply LogService::append(const Request &Asked, const std::string &Stream,
                         core::TimePoint Now) {
  if (Asked.BodyTooLarge)
    return jsonAnswer(413, {{"error", "record exceeds 256 KiB"}});
  const auto Offset = Store.append(Stream, Asked.Body, Now);
  if (!Offset)
    return jsonAnswer(429, {{"error", "too many appends"}});
  if (Faults.strikes(FaultMode::LoseAcknowledgement))
    return Drop{};
  Answer Out = jsonAnswer(200, {{"offset", *Offset}});
  if (Faults.strikes(FaultMode::Slow))
    Out.NotBefore = Now + Faults.Plan.Delay;
  return Out;
}

Reply LogService::read(const Request &Asked, const std::string &Stream,
                       core::TimePoint Arrived, core::TimePoint Now) {
  const auto From = numberIn(Asked.From, 0);
  const auto WaitMs = numberIn(Asked.WaitMs, 0);
  const auto MaxBytes = numberIn(Asked.MaxBytes, DefaultMaxBytes);
  if (!From || !WaitMs || !MaxBytes)
    return badRequest("from, wait_ms and max_bytes must be whole numbers");
  if (const std::uint64_t First = Store.firstOf(Stream, Now); *From < First)
    return cborAnswer(410, {{"first", First}});
  const core::TimePoint Until =
      Arrived + core::Milliseconds(std::min(*WaitMs, MaxWaitMs));
  if (!Store.hasFrom(Stream, *From) && Now < Until)
    return Wait{Stream, Until};
  const ReadAnswer Found =
      Store.read(Stream, *From, std::min(*MaxBytes, LargestAnswer));
  json Records = json::array();
  for (const std::string &Each : Found.Records)
    Records.push_back(json::binary({Each.begin(), Each.end()}));
  Answer Out = cborAnswer(200, {{"first", Found.First},
                                {"next", Found.Next},
                                {"records", std::move(Records)}});
  if (Faults.strikes(FaultMode::Slow))
    Out.NotBefore = Now + Faults.Plan.Delay;
  return Out;
}

Answer LogService::setFaults(const std::string &Body) {
  const auto Plan = parseFaults(Body);
  if (!Plan)
    return badRequest("mode, delay_ms or rate");
  Faults.Plan = *Plan;
  return jsonAnswer(200, json::object());
}

Answer LogService::stats() const {
  json Streams = json::object();
  for (const auto &[Name, Each] : Store.counters())
    Streams[Name] = {{"appends", Each.Appends},
                     {"reads", Each.Reads},
                     {"bytes_appended", Each.BytesAppended},
                     {"bytes_read", Each.BytesRead}};
  return jsonAnswer(200, {{"streams", std::move(Streams)}});
}

} // namespace filbertvane::tools

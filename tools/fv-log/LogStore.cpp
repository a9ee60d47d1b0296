#include "LogStore.h"
#include <algorithm>

namespace filbertvane::tools {

std::optional<std::uint64_t> LogStore::append(const std::string &Name,
                                              std::string Bytes,
                                              core::TimePoint Now) {
  if (!takeAllowance(Now))
    return std::nullopt;
  Stream &Target = Streams[Name];
  const std::uint64_t Offset = Target.end();
  ++Target.Counters.Appends;
  Target.Counters.BytesAppended += Bytes.size();
  Target.Records.push_back({Now, std::move(Bytes)});
  trim(Target, Now);
  return Offset;
}

std::uint64_t LogStore::firstOf(const std::string &Name, core::TimePoint Now) {
  const auto Found = Streams.find(Name);
  if (Found == Streams.end())
    return 0;
  trim(Found->second, Now);
  return Found->second.First;
}

bool LogStore::hasFrom(const std::string &Name, std::uint64_t From) {
  const auto Found = Streams.find(Name);
  return Found != Streams.end() && From < Found->second.end();
}

ReadAnswer LogStore::read(const std::string &Name, std::uint64_t From,
                          std::size_t MaxBytes) {
  ReadAnswer Answer{From, From, {}};
  const auto Found = Streams.find(Name);
  if (Found == Streams.end())
    return Answer;
  Stream &Source = Found->second;
  ++Source.Counters.Reads;
  std::size_t Size = 0;
  for (; Answer.Next < Source.end(); ++Answer.Next) {
    const std::string &Bytes = Source.Records[Answer.Next - Source.First].Bytes;
    if (!Answer.Records.empty() && Size + Bytes.size() > MaxBytes)
      break;
    Size += Bytes.size();
    Answer.Records.push_back(Bytes);
  }
  Source.Counters.BytesRead += Size;
  return Answer;
}

std::map<std::string, StreamCounters> LogStore::counters() const {
  std::map<std::string, StreamCounters> Out;
  for (const auto &[Name, Each] : Streams)
    Out.emplace(Name, Each.Counters);
  return Out;
}

void LogStore::trim(Stream &Trimmed, core::TimePoint Now) const {
  const auto IsOld = [&] {
    return Trimmed.Records.size() > Limits.RetainedRecords ||
           Now - Trimmed.Records.front().At > Limits.Retention;
  };
  for (; !Trimmed.Records.empty() && IsOld(); ++Trimmed.First)
    Trimmed.Records.pop_front();
}

bool LogStore::takeAllowance(core::TimePoint Now) {
  const double Rate = Limits.AppendsPerSecond;
  if (Rate == 0)
    return true;
  const std::chrono::duration<double> Passed = Now - RefilledAt;
  Allowance = std::min(Rate, Allowance + Passed.count() * Rate);
  RefilledAt = Now;
  if (Allowance < 1)
    return false;
  Allowance -= 1;
  return true;
}

} // namespace filbertvane::tools

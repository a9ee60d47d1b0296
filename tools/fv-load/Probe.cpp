#include "Probe.h"
#include "../Pattern.h"
#include <algorithm>

namespace filbertvane::tools {

namespace {

constexpr std::size_t WriteBlock = std::size_t{64} * 1024;
constexpr std::size_t QueueBound = std::size_t{256} * 1024;

} // namespace

Probe::Probe(Generator &Owner, std::string Token, std::string Key,
             core::TimePoint Intended)
    : Owner(Owner), Token(std::move(Token)), Key(std::move(Key)),
      Intended(Intended) {}

void Probe::begin(const std::string &Url) {
  const LoadOptions &Settings = Owner.options();
  io::HttpClient::Request What;
  What.Method = Settings.Method;
  What.Url = Url + Settings.Path;
  What.Fields = Settings.Fields;
  What.Fields.emplace(TokenField, Token);
  if (!Key.empty())
    What.Fields.emplace("Idempotency-Key", Key);
  What.Deadline = Intended + Settings.Deadline;
  Expected = Settings.Bytes;
  if (Settings.Method != "GET")
    BodyBytes = Settings.Bytes;
  else if (Settings.Bytes > 0)
    What.Url += (What.Url.find('?') == std::string::npos ? "?" : "&") +
                ("bytes=" + std::to_string(Settings.Bytes));
  What.ContentLength = BodyBytes;
  Request = Owner.client().send(std::move(What), *this);
  pour();
}

void Probe::pour() {
  std::size_t Queued = 0;
  while (Written < BodyBytes && Queued < QueueBound) {
    const std::size_t Count = std::min(WriteBlock, BodyBytes - Written);
    Queued = Request->writeBody(patternOf(Token, Written, Count));
    Written += Count;
  }
  if (Written == BodyBytes)
    Request->finishBody();
}

void Probe::onBody(std::string_view Part) {
  if (Expected > 0 && Head.Status == 200 && !Differs)
    Differs = Part != patternOf(Token, Received, Part.size());
  Received += Part.size();
}

Verdict Probe::judge(io::ClientEnd End) const {
  if (End == io::ClientEnd::NotSent)
    return Verdict::NotRun;
  if (End != io::ClientEnd::Complete)
    return Head.Status == 0 || Head.Status == 200 ? Verdict::Unknown
                                                  : Verdict::Failed;
  const auto Outcome = io::headerOf(Head.Fields, "Filbertvane-Outcome");
  if (Outcome == "not-run")
    return Verdict::NotRun;
  if (Outcome == "unknown")
    return Verdict::Unknown;
  if (Head.Status < 200 || Head.Status > 299)
    return Verdict::Failed;
  if (Differs || io::headerOf(Head.Fields, TokenField) != Token)
    return Verdict::WrongAnswer;
  if (Expected > 0 && Received < Expected)
    return Verdict::Truncated;
  return Expected > 0 && Received > Expected ? Verdict::WrongAnswer
                                             : Verdict::Ok;
}

void Probe::onEnd(io::ClientEnd End) { Owner.ended(*this, judge(End)); }

} // namespace filbertvane::tools

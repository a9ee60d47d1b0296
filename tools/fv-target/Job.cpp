#include "Job.h"
#include "../Pattern.h"
#include <charconv>
#include <cstdlib>

namespace filbertvane::tools {

namespace {

constexpr std::size_t MaxEchoBytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t WriteBlock = std::size_t{64} * 1024;
constexpr std::size_t QueueBound = std::size_t{256} * 1024;
constexpr int CrashStatus = 70;

std::optional<std::size_t> bytesParameter(const std::string &Path) {
  const std::size_t Query = Path.find('?');
  const std::size_t Found =
      Query == std::string::npos ? Query : Path.find("bytes=", Query);
  if (Found == std::string::npos)
    return std::nullopt;
  std::size_t Bytes = 0;
  const char *Begin = Path.data() + Found + 6;
  std::from_chars(Begin, Path.data() + Path.size(), Bytes);
  return Bytes;
}

} // namespace

Job::Job(Target &Owner, io::ServerExchange &Exchange)
    : Owner(Owner), Exchange(Exchange),
      Work(Owner.loop(), [this] { finishWork(); }),
      Token(io::headerOf(Exchange.request().Fields, TokenField).value_or("")) {}

Job::~Job() {
  if (Holding)
    Owner.end();
}

void Job::onBody(std::string_view Part) {
  TooLarge = TooLarge || Body.size() + Part.size() > MaxEchoBytes;
  if (!TooLarge)
    Body.append(Part);
}

bool Job::answersControlPath() {
  const std::string &Path = Exchange.request().Path;
  if (Path == "/executions")
    Exchange.respond(200, Owner.executionsJson(),
                     {{"Content-Type", "application/json"}});
  else if (Path == "/load")
    Exchange.respond(200, Owner.loadJson(),
                     {{"Content-Type", "application/json"}});
  else if (Path == "/healthz")
    Exchange.respond(200, "ok\n");
  else
    return false;
  return true;
}

void Job::onBodyEnd() {
  if (answersControlPath())
    return;
  const io::RequestHead &Head = Exchange.request();
  if (TooLarge)
    return Exchange.respond(413, "body too large\n");
  if (!Owner.begin(Head))
    return Exchange.respond(503, "no free slot\n",
                            {{"Filbertvane-Outcome", "not-run"}});
  Holding = true;
  // The process ends as one with a fault in its own code would.
  if (Owner.crashes(Head))
    std::_Exit(CrashStatus);
  const core::Microseconds Span = Owner.workTime(Head);
  if (Span.count() == 0)
    return finishWork();
  Work.arm(Owner.loop().now().Mono + Span);
}

void Job::finishWork() {
  const io::RequestHead &Head = Exchange.request();
  io::Headers Fields = {{TokenField, Token},
                        {"Content-Type", "application/octet-stream"}};
  if (const auto Identity = io::headerOf(Head.Fields, "Filbertvane-Request"))
    Fields.emplace("Filbertvane-Request", *Identity);
  if (Owner.fails(Head))
    return Exchange.respond(500, "fault\n", std::move(Fields));
  const auto Wanted = bytesParameter(Head.Path);
  if (!Wanted)
    return Exchange.respond(200, Body.empty() ? "ok\n" : Body,
                            std::move(Fields));
  AnswerBytes = *Wanted;
  Exchange.start({200, std::move(Fields)}, AnswerBytes);
  Streaming = true;
  pour();
}

void Job::pour() {
  if (!Streaming)
    return;
  std::size_t Queued = 0;
  while (Written < AnswerBytes && Queued < QueueBound) {
    const std::size_t Count = std::min(WriteBlock, AnswerBytes - Written);
    Queued = Exchange.write(patternOf(Token, Written, Count));
    Written += Count;
  }
  if (Written < AnswerBytes)
    return;
  Streaming = false;
  Exchange.finish();
}

void Job::onClosed(bool) { Work.cancel(); }

} // namespace filbertvane::tools

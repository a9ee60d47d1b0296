#include "Generator.h"
#include "Probe.h"
#include <cmath>
#include <fmt/format.h>

namespace filbertvane::tools {

Generator::Generator(io::EventLoop &Loop, LoadOptions Settings)
    : Loop(Loop), Settings(std::move(Settings)), Chance(this->Settings.Seed),
      Client(io::HttpClient::create(Loop, {})),
      Next(Loop, [this] { sendDue(); }) {
  if (!this->Settings.KeysFile.empty())
    Keys = std::fopen(this->Settings.KeysFile.c_str(), "w");
}

Generator::~Generator() {
  if (Keys != nullptr)
    std::fclose(Keys);
}

void Generator::start() {
  Planned = static_cast<std::uint64_t>(
      std::llround(Settings.Rate * Settings.Seconds));
  Begin = Loop.now().Mono;
  sendDue();
}

core::TimePoint Generator::dueAt(std::uint64_t Index) const {
  const double Micros = static_cast<double>(Index) * 1e6 / Settings.Rate;
  return Begin + core::Microseconds(std::llround(Micros));
}

void Generator::sendDue() {
  while (Launched < Planned && dueAt(Launched) <= Loop.now().Mono)
    sendOne(dueAt(Launched));
  if (Launched < Planned)
    Next.arm(dueAt(Launched));
  else
    stopWhenDone();
}

void Generator::sendOne(core::TimePoint Intended) {
  const std::uint64_t Index = Launched++;
  const std::size_t Urls = Settings.Urls.size();
  const std::string Key = Settings.Keys ? newKey() : std::string();
  // A repeat may be answered with the stored answer of the first request, so
  // that both carry the same token.
  const std::string Token =
      Key.empty() ? fmt::format("{:x}-{:x}", Settings.Seed, Index) : Key;
  launch(Settings.Urls[Index % Urls], Token, Key, Intended);
  if (!Key.empty() && Chance.unit() < Settings.RepeatRate)
    launch(Settings.Urls[(Index + 1) % Urls], Token, Key, Intended);
}

void Generator::launch(const std::string &Url, const std::string &Token,
                       const std::string &Key, core::TimePoint Intended) {
  ++Found.Sent;
  if (Probes.size() >= Settings.MaxInFlight) {
    ++Found.Counts[Verdict::Failed];
    return;
  }
  auto Made = std::make_unique<Probe>(*this, Token, Key, Intended);
  Probe *Started = Made.get();
  Probes.emplace(Started, std::move(Made));
  Started->begin(Url);
}

std::string Generator::newKey() {
  // UUIDv7: 48 bits of time, version 7, random bits, variant 2.
  const auto Time =
      static_cast<std::uint64_t>(Loop.now().Wall.time_since_epoch().count());
  const std::uint64_t A = Chance.next();
  const std::uint64_t B = Chance.next();
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}",
                     (Time >> 16) & 0xffffffff, Time & 0xffff, A & 0xfff,
                     0x8000 | ((A >> 12) & 0x3fff), B & 0xffffffffffff);
}

void Generator::ended(Probe &Done, Verdict Kind) {
  ++Found.Counts[Kind];
  if (Kind == Verdict::Ok)
    Found.Latency.add(Loop.now().Mono - Done.intended());
  if (Keys != nullptr && !Done.key().empty())
    fmt::print(Keys, "{} {}\n", Done.key(), nameOf(Kind));
  Probes.erase(&Done);
  stopWhenDone();
}

void Generator::stopWhenDone() {
  if (Launched == Planned && Probes.empty())
    Loop.stop();
}

} // namespace filbertvane::tools

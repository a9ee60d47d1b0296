#include "StoreStandIn.h"
#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <nlohmann/json.hpp>

namespace filbertvane::tools {

namespace {

/// Period at which waiting reads are checked for their end.
constexpr core::Milliseconds TickPeriod{20};
constexpr std::size_t MostItems = 500;

std::string encodeBase64(const std::string &Bytes) {
  namespace it = boost::archive::iterators;
  using Encoder = it::base64_from_binary<
      it::transform_width<std::string::const_iterator, 6, 8>>;
  const std::size_t Padding = (3 - Bytes.size() % 3) % 3;
  std::string Text(Encoder(Bytes.cbegin()), Encoder(Bytes.cend()));
  return Text.append(Padding, '=');
}

std::string bigEndian(std::uint64_t Number, int Bytes) {
  std::string Out;
  for (int Shift = (Bytes - 1) * 8; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>((Number >> Shift) & 0xff));
  return Out;
}

std::uint64_t readBigEndian(std::string_view Bytes) {
  std::uint64_t Number = 0;
  for (const char Byte : Bytes)
    Number = Number << 8 | static_cast<unsigned char>(Byte);
  return Number;
}

std::string unescaped(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%' || I + 2 >= Text.size()) {
      Out.push_back(Text[I]);
      continue;
    }
    Out.push_back(static_cast<char>(
        std::stoi(std::string(Text.substr(I + 1, 2)), nullptr, 16)));
    I += 2;
  }
  return Out;
}

std::map<std::string, std::string> wordsOf(std::string_view Path) {
  std::map<std::string, std::string> Words;
  const std::size_t Mark = Path.find('?');
  if (Mark == std::string_view::npos)
    return Words;
  Path.remove_prefix(Mark + 1);
  while (!Path.empty()) {
    const std::size_t End = std::min(Path.find('&'), Path.size());
    const std::string_view Word = Path.substr(0, End);
    const std::size_t Equals = std::min(Word.find('='), Word.size());
    Words[std::string(Word.substr(0, Equals))] =
        unescaped(Word.substr(std::min(Equals + 1, Word.size())));
    Path.remove_prefix(std::min(End + 1, Path.size()));
  }
  return Words;
}

} // namespace

class StoreStandIn::Exchange final : public io::ExchangeHandler {
public:
  Exchange(StoreStandIn &Owner, io::ServerExchange &Inner)
      : Owner(Owner), Inner(Inner) {}
  void onBody(std::string_view Part) override { Body.append(Part); }
  void onBodyEnd() override { Owner.take(*this); }
  void onWritable() override {}
  void onClosed(bool) override { Owner.Waiting.erase(this); }

  StoreStandIn &Owner;
  io::ServerExchange &Inner;
  std::string Body;
  /// A read that waits for records.
  std::string Topic;
  std::uint64_t From = 0;
  core::TimePoint Until;
};

StoreStandIn::StoreStandIn(io::EventLoop &Loop, const std::string &Address)
    : Loop(Loop), Tick(Loop, [this] { wakeReaders(); }) {
  io::HttpServer::Options Options;
  Options.Address = Address;
  auto Opened = io::HttpServer::listen(
      Loop, Options,
      [this](io::ServerExchange &E) -> std::unique_ptr<io::ExchangeHandler> {
        return std::make_unique<Exchange>(*this, E);
      });
  if (core::ok(Opened))
    Server = core::take(std::move(Opened));
  Tick.arm(Loop.now().Mono + TickPeriod);
}

// Ending exchanges still use the other members.
StoreStandIn::~StoreStandIn() { Server.reset(); }

void StoreStandIn::setMode(StoreMode Next) {
  Mode = Next;
  // Reads under way never get their answer, although their connections stay.
  if (Mode == StoreMode::Silent)
    Waiting.clear();
}

void StoreStandIn::forgetHistory() {
  for (auto &[Name, Each] : Topics) {
    Each.Records.clear();
    Each.First = Each.End;
  }
}

StoreStandIn::Copy StoreStandIn::copy() const {
  Copy Taken;
  Taken.Topics = Topics;
  return Taken;
}

void StoreStandIn::restore(const Copy &Older) {
  Topics = Older.Topics;
  ++Era;
  // Reads that were held back find the store that was restored.
  wakeReaders();
}

std::uint64_t StoreStandIn::put(const std::string &Name, const std::string &Key,
                                const std::string &Value) {
  Topic &To = Topics[Name];
  const Record Fresh{To.End++, Key, Value};
  To.Records.push_back(Fresh);
  To.Newest[Key] = Fresh;
  if (Value.empty())
    To.Newest.erase(Key);
  wakeReaders();
  return Fresh.Offset;
}

std::string StoreStandIn::newest(const std::string &Name,
                                 const std::string &Key) const {
  const auto Found = Topics.find(Name);
  if (Found == Topics.end() || !Found->second.Newest.contains(Key))
    return {};
  return Found->second.Newest.at(Key).Value;
}

void StoreStandIn::respond(Exchange &Who, int Status, std::string_view Body) {
  if (Mode == StoreMode::LosesAnswers)
    Who.Inner.abort();
  else
    Who.Inner.respond(Status, Body,
                      {{"Content-Type", "application/json"},
                       {"Store-Era", std::to_string(Era)}});
}

void StoreStandIn::take(Exchange &Who) {
  ++Calls;
  if (Mode == StoreMode::Silent)
    return;
  if (Mode == StoreMode::Busy)
    return respond(Who, 503, "");
  const std::string &Path = Who.Inner.request().Path;
  const Query Words = wordsOf(Path);
  if (Path.starts_with("/v1/log-append?"))
    return append(Who, Words);
  if (Path.starts_with("/v1/log-read?"))
    return read(Who, Words);
  if (Path.starts_with("/v1/log-newest?"))
    return newestOf(Who, Words);
  respond(Who, 404, "");
}

void StoreStandIn::append(Exchange &Who, const Query &Words) {
  const std::string &Name = Words.at("topic");
  const std::uint64_t End = Topics[Name].End;
  if (Words.contains("at") && std::stoull(Words.at("at")) != End)
    return respond(Who, 412, nlohmann::json{{"end", End}}.dump());
  std::string_view Rest = Who.Body;
  while (Rest.size() > 4) {
    const std::size_t Size = readBigEndian(Rest.substr(0, 4));
    const std::string_view Content = Rest.substr(4, Size);
    const std::size_t KeySize = static_cast<unsigned char>(Content.front());
    put(Name, std::string(Content.substr(1, KeySize)),
        std::string(Content.substr(1 + KeySize)));
    Rest.remove_prefix(4 + Size);
  }
  respond(Who, 200,
          nlohmann::json{{"offset", End}, {"end", Topics[Name].End}}.dump());
}

void StoreStandIn::read(Exchange &Who, const Query &Words) {
  Who.Topic = Words.at("topic");
  Who.From = std::stoull(Words.at("from"));
  const Topic &From = Topics[Who.Topic];
  if (!holds(From, Who.From))
    return respond(Who, 410, nlohmann::json{{"first", From.First}}.dump());
  const core::Milliseconds Wait(
      Words.contains("wait_ms") ? std::stoll(Words.at("wait_ms")) : 0);
  Who.Until = Loop.now().Mono + Wait;
  if (Who.From < From.End || Wait.count() == 0)
    return answerRead(Who, From, Who.From);
  Waiting.insert(&Who);
}

bool StoreStandIn::holds(const Topic &From, std::uint64_t Offset) {
  return Offset >= From.First && Offset <= From.End;
}

void StoreStandIn::answerRead(Exchange &Who, const Topic &From,
                              std::uint64_t Offset) {
  std::string Body = bigEndian(From.End, 8) + bigEndian(From.First, 8);
  for (const Record &Each : From.Records)
    if (Each.Offset >= Offset) {
      Body += bigEndian(1 + Each.Key.size() + Each.Value.size(), 4);
      Body.push_back(static_cast<char>(Each.Key.size()));
      Body += Each.Key + Each.Value;
    }
  respond(Who, 200, Body);
}

void StoreStandIn::wakeReaders() {
  const core::TimePoint Now = Loop.now().Mono;
  const std::set<Exchange *> All = Waiting;
  for (Exchange *Who : All) {
    const Topic &From = Topics[Who->Topic];
    const bool Held = holds(From, Who->From);
    if (Held && Who->From >= From.End && Now < Who->Until)
      continue;
    Waiting.erase(Who);
    if (!Held) {
      respond(*Who, 410, nlohmann::json{{"first", From.First}}.dump());
      continue;
    }
    answerRead(*Who, From, Who->From);
  }
  Tick.arm(Now + TickPeriod);
}

void StoreStandIn::newestOf(Exchange &Who, const Query &Words) {
  ++ListReads;
  const Topic &From = Topics[Words.at("topic")];
  const auto After = Words.find("after");
  nlohmann::json Items = nlohmann::json::array();
  auto It = After == Words.end() ? From.Newest.begin()
                                 : From.Newest.upper_bound(After->second);
  for (; It != From.Newest.end() && Items.size() < MostItems; ++It)
    Items.push_back({{"key", It->first},
                     {"value", encodeBase64(It->second.Value)},
                     {"offset", It->second.Offset}});
  respond(Who, 200,
          nlohmann::json{{"items", Items},
                         {"more", It != From.Newest.end()},
                         {"end", From.End}}
              .dump());
}

} // namespace filbertvane::tools

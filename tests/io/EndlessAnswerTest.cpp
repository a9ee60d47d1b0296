#include "AnyClient.h"
#include "RawPeer.h"
#include "ResidentMemory.h"

using namespace filbertvane;
using namespace filbertvane::test;

namespace {

/// Bytes that a client may take of a head that does not end.
constexpr std::size_t HeadBound = std::size_t{1024} * 1024;
/// Memory that one answer may take; the smallest hosts have 260 MB for all.
constexpr std::size_t MemoryBound = std::size_t{64} * 1024 * 1024;
constexpr std::size_t SmallBlock = std::size_t{16} * 1024;
constexpr std::size_t LargeBlock = std::size_t{1024} * 1024;

struct Poured {
  io::ClientEnd End = io::ClientEnd::Complete;
  std::size_t Bytes = 0;
  bool BeforeDeadline = false;
};

/// Answers a request with a text, and then with another one again and again
/// until the client closes.
Poured pourTo(ClientKind Kind, const std::string &Begin,
              const std::string &Repeated, core::Milliseconds Time,
              std::size_t BlockBytes) {
  BoundedLoop Bounded;
  Poured Result;
  std::string Block;
  while (Block.size() < BlockBytes)
    Block += Repeated;
  RawConnection *Open = nullptr;
  RawServer Server(Bounded.Loop, [&](RawConnection &Connection) {
    if (Open == nullptr && !Connection.Ended) {
      Open = &Connection;
      Connection.send(Begin);
    }
  });
  io::Timer Tap(Bounded.Loop, [&] {
    if (Open != nullptr) {
      Open->send(Block);
      Result.Bytes += Open->Sent > 0 ? static_cast<std::size_t>(Open->Sent) : 0;
    }
    Tap.arm(Bounded.Loop.now().Mono + core::Milliseconds(1));
  });
  Tap.arm(Bounded.Loop.now().Mono);
  AnyClient Client(Bounded.Loop, Kind);
  ClientRecorder Recorder;
  Recorder.OnOver = [&] { Bounded.stop(); };
  auto What = requestTo(Bounded.Loop, urlOf(Server.Port));
  What.Deadline = Bounded.Loop.now().Mono + Time;
  const core::TimePoint Deadline = What.Deadline;
  const auto Request = Client.send(std::move(What), Recorder);
  Bounded.run();
  Result.End = *Recorder.End;
  Result.BeforeDeadline = Bounded.Loop.now().Mono < Deadline;
  return Result;
}

/// Answers a request of each client in this way; returns the worse result.
Poured pour(const std::string &Begin, const std::string &Repeated,
            core::Milliseconds Time = core::Seconds(5),
            std::size_t BlockBytes = SmallBlock) {
  const Poured A =
      pourTo(ClientKind::ForNodes, Begin, Repeated, Time, BlockBytes);
  const Poured B =
      pourTo(ClientKind::ForTargets, Begin, Repeated, Time, BlockBytes);
  const bool Complete = A.End == io::ClientEnd::Complete;
  return {Complete ? A.End : B.End, std::max(A.Bytes, B.Bytes),
          A.BeforeDeadline && B.BeforeDeadline};
}

} // namespace

// Guards against a head without end that fills the memory, or that keeps a
// request until its deadline.
Test(endless_answer, a_head_without_end_is_broken_off) {
  const std::string Begin = "HTTP/1.1 200 OK\r\n";
  const std::pair<const char *, Poured> Heads[] = {
      {"header lines", pour(Begin, "X-Filler: some bytes\r\n")},
      {"one header line", pour(Begin + "X-Filler: ", "some bytes ")},
      {"interim answers", pour("", "HTTP/1.1 100 Continue\r\n\r\n")},
      {"no HTTP at all", pour("", "some bytes ")},
      {"a status line", pour("HTTP/1.1 200 ", "OK")},
  };
  for (const auto &[Name, Head] : Heads) {
    cr_expect(Head.End != io::ClientEnd::Complete, "%s: complete", Name);
    cr_expect(Head.BeforeDeadline, "%s: until the deadline", Name);
    cr_expect(Head.Bytes <= HeadBound, "%s: %zu bytes", Name, Head.Bytes);
  }
}

// Guards against a body without end that is taken for a whole answer, or that
// goes on after the deadline.
Test(endless_answer, a_body_without_end_is_never_whole) {
  const std::string Chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  constexpr core::Milliseconds BodyTime{500};
  const std::pair<const char *, Poured> Bodies[] = {
      {"without length",
       pour("HTTP/1.1 200 OK\r\n\r\n", "some bytes", BodyTime)},
      {"chunks", pour(Chunked, "a\r\nsome bytes\r\n", BodyTime)},
      {"chunk extension", pour(Chunked + "a;", "some bytes", BodyTime)},
      {"trailers",
       pour(Chunked + "0\r\n", "X-Filler: some bytes\r\n", BodyTime)},
  };
  for (const auto &[Name, Body] : Bodies)
    cr_expect(Body.End != io::ClientEnd::Complete, "%s: complete", Name);
}

// Guards against trailers without end, which filled the memory of the node: all
// of them are kept until the deadline.
Test(endless_answer, trailers_without_end_are_broken_off) {
  const std::string Begin =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  const std::size_t Before = peakResidentBytes();
  const Poured Trailers =
      pour(Begin, "X-Filler: some bytes\r\n", core::Seconds(3), LargeBlock);
  cr_expect(Trailers.End != io::ClientEnd::Complete);
  cr_expect(Trailers.BeforeDeadline, "until the deadline");
  const std::size_t Taken = peakResidentBytes() - Before;
  cr_expect(Taken <= MemoryBound, "%zu bytes of memory", Taken);
}

// Guards against chunks that have ever more bytes beside the body: no callback
// sees them, and their reader leaves other requests no time.
Test(endless_answer, framing_without_end_is_broken_off) {
  const std::string Begin =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const Poured Extension =
      pour(Begin + "a;", "some bytes", core::Seconds(3), LargeBlock);
  cr_expect(Extension.End != io::ClientEnd::Complete);
  cr_expect(Extension.BeforeDeadline, "until the deadline");
  // Small chunks are whole, whatever their share of the bytes.
  for (const ClientKind Kind : BothClients) {
    BoundedLoop Bounded;
    constexpr std::size_t Chunks = 200'000;
    std::string Answer = Begin;
    for (std::size_t I = 0; I < Chunks; ++I)
      Answer += "1\r\nx\r\n";
    Answer += "0\r\n\r\n";
    std::size_t Sent = 0;
    RawConnection *Open = nullptr;
    RawServer Server(Bounded.Loop,
                     [&](RawConnection &Connection) { Open = &Connection; });
    io::Timer Writer(Bounded.Loop, [&] {
      if (Open != nullptr && Sent < Answer.size()) {
        Open->send(Answer.substr(Sent, SmallBlock));
        Sent += Open->Sent > 0 ? static_cast<std::size_t>(Open->Sent) : 0;
      }
      Writer.arm(Bounded.Loop.now().Mono + core::Milliseconds(1));
    });
    Writer.arm(Bounded.Loop.now().Mono);
    AnyClient Client(Bounded.Loop, Kind);
    ClientRecorder Recorder;
    Recorder.OnOver = [&] { Bounded.stop(); };
    auto What = requestTo(Bounded.Loop, urlOf(Server.Port));
    const auto Request = Client.send(std::move(What), Recorder);
    Bounded.run();
    cr_expect(*Recorder.End == io::ClientEnd::Complete);
    cr_expect(Recorder.Body == std::string(Chunks, 'x'));
  }
}

// Guards against an answer in many small parts that holds up the requests of
// other callers.
Test(endless_answer, a_body_in_small_parts_leaves_others_their_turn) {
  constexpr std::size_t MaxPartsInTurn = 100;
  for (const ClientKind Kind : BothClients) {
    BoundedLoop Bounded;
    std::string Block;
    while (Block.size() < LargeBlock)
      Block += "1\r\nx\r\n";
    RawConnection *Open = nullptr;
    RawServer Server(Bounded.Loop, [&](RawConnection &Connection) {
      if (Open == nullptr && !Connection.Ended) {
        Open = &Connection;
        Connection.send(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      }
    });
    // Stands for the other events of the loop.
    std::size_t Parts = 0;
    std::size_t MostParts = 0;
    io::Timer Others(Bounded.Loop, [&] {
      MostParts = std::max(MostParts, std::exchange(Parts, 0));
      if (Open != nullptr)
        Open->send(Block);
      Others.arm(Bounded.Loop.now().Mono);
    });
    Others.arm(Bounded.Loop.now().Mono);
    AnyClient Client(Bounded.Loop, Kind);
    ClientRecorder Recorder;
    Recorder.OnPart = [&](std::string_view) { ++Parts; };
    Recorder.OnOver = [&] { Bounded.stop(); };
    auto What = requestTo(Bounded.Loop, urlOf(Server.Port));
    What.Deadline = Bounded.Loop.now().Mono + core::Milliseconds(500);
    const auto Request = Client.send(std::move(What), Recorder);
    Bounded.run();
    cr_expect(Recorder.Body.size() > LargeBlock / 6, "%zu bytes",
              Recorder.Body.size());
    cr_expect(MostParts <= MaxPartsInTurn, "%zu parts", MostParts);
  }
}

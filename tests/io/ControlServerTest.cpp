#include "filbertvane/io/ControlServer.h"
#include "filbertvane/wire/ControlCodec.h"
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <set>
#include <sys/socket.h>
#include <unistd.h>

using namespace filbertvane;
using io::ControlServer;
using Suspect = wire::Suspect;

namespace {

/// A server with the messages and events that it reported.
struct Side {
  std::unique_ptr<ControlServer> Server;
  std::vector<std::pair<std::string, wire::ControlMessage>> Got;
  std::multiset<observe::EventId> Events;
};

/// Runs one loop until a condition holds; the deadline only ends a failure.
struct Bench {
  io::EventLoop Loop;

  void open(Side &To, const char *Name, const char *Key,
            ControlServer::Options Settings = {}) {
    Settings.Address = "127.0.0.1:0";
    Settings.Own.Node = core::NodeId(Name);
    Settings.Own.Region = core::RegionId(Name);
    Settings.SharedKey = Key;
    auto Opened = ControlServer::listen(
        Loop, Settings,
        [&To](const wire::Hello &From, wire::ControlMessage What) {
          To.Got.emplace_back(From.Node.value(), std::move(What));
        },
        [&To](const observe::LogEvent &One) { To.Events.insert(One.Id); });
    cr_assert(core::ok(Opened));
    To.Server = core::take(std::move(Opened));
  }

  bool until(const std::function<bool()> &Condition) {
    const core::TimePoint Deadline = Loop.now().Mono + core::Seconds(5);
    bool Held = false;
    io::Timer Poll(Loop, [&] {
      Held = Condition();
      if (Held || Loop.now().Mono > Deadline)
        Loop.stop();
      else
        Poll.arm(Loop.now().Mono + core::Milliseconds(5));
    });
    Poll.arm(Loop.now().Mono);
    Loop.run();
    return Held;
  }
};

/// A peer that accepts connections and never answers.
int silentListener(std::string &Address) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Length = sizeof(Where);
  const int Bound = ::bind(Fd, reinterpret_cast<sockaddr *>(&Where), Length);
  cr_assert(Bound == 0, "no loopback port could be bound");
  ::listen(Fd, 8);
  ::getsockname(Fd, reinterpret_cast<sockaddr *>(&Where), &Length);
  Address = "127.0.0.1:" + std::to_string(ntohs(Where.sin_port));
  return Fd;
}

} // namespace

// Guards against lost, doubled or reordered frames on a healthy connection and
// against bytes that the measure would miss.
Test(control_server, messages_arrive_in_order_on_one_connection) {
  Bench B;
  Side One;
  Side Two;
  B.open(One, "one", "key");
  B.open(Two, "two", "key");
  for (std::uint32_t I = 0; I < 200; ++I)
    cr_assert(core::ok(
        One.Server->send(Two.Server->address(), Suspect{core::Digest(I), I})));
  cr_assert(B.until([&] { return Two.Got.size() == 200; }));
  for (std::uint32_t I = 0; I < 200; ++I)
    cr_assert(Two.Got[I].second ==
              wire::ControlMessage(Suspect{core::Digest(I), I}));
  cr_assert(Two.Got[0].first == "one");
  cr_assert(One.Server->traffic().Connects == 1);
  std::uint64_t Out = 0;
  std::uint64_t In = 0;
  for (std::size_t Kind = 0; Kind < wire::MessageKinds; ++Kind) {
    Out += One.Server->traffic().Kinds[Kind].BytesOut;
    In += Two.Server->traffic().Kinds[Kind].BytesIn;
  }
  cr_assert(Out == In && In > 800, "%lu bytes out, %lu in", Out, In);
  cr_assert(Two.Server->traffic().CrossRegionBytes >= In);
}

// Guards against messages from a fleet with another key.
Test(control_server, a_peer_without_the_key_is_refused) {
  Bench B;
  Side One;
  Side Two;
  B.open(One, "one", "other key");
  B.open(Two, "two", "key");
  cr_assert(core::ok(One.Server->send(Two.Server->address(), Suspect{})));
  cr_assert(B.until(
      [&] { return Two.Events.contains(observe::EventId::PeerUnauthorised); }));
  cr_assert(Two.Got.empty());
}

// Guards against an open connection that went silent and is used for ever.
Test(control_server, a_silent_connection_is_closed_and_opened_anew) {
  Bench B;
  Side One;
  ControlServer::Options Fast;
  Fast.SilenceTimeout = core::Milliseconds(150);
  Fast.BackoffBase = core::Milliseconds(10);
  B.open(One, "one", "key", Fast);
  std::string Address;
  const int Fd = silentListener(Address);
  cr_assert(core::ok(One.Server->send(Address, Suspect{})));
  cr_assert(B.until(
      [&] { return One.Events.contains(observe::EventId::PeerSilent); }));
  cr_assert(core::ok(One.Server->send(Address, Suspect{})));
  cr_assert(B.until([&] { return One.Server->traffic().Connects >= 2; }));
  ::close(Fd);
}

// Guards against a storm of connections and against memory for a dead peer.
Test(control_server, connections_and_queues_are_bounded) {
  Bench B;
  Side One;
  Side Two;
  ControlServer::Options Slow;
  Slow.ConnectsPerSecond = 1;
  Slow.ConnectBurst = 2;
  Slow.MaxOutgoing = 4;
  Slow.MaxQueuedBytes = 64;
  B.open(One, "one", "key", Slow);
  std::string Address;
  const int Fd = silentListener(Address);
  std::size_t Refused = 0;
  for (int I = 0; I < 20; ++I)
    Refused += !core::ok(
        One.Server->send("127.0.0.1:" + std::to_string(1 + I % 8), Suspect{}));
  for (int I = 0; I < 20; ++I)
    Refused += !core::ok(One.Server->send(Address, Suspect{}));
  cr_assert(Refused > 20, "%zu refused", Refused);
  cr_assert(One.Server->traffic().Connects <= 2);
  cr_assert(One.Events.contains(observe::EventId::PeerConnectionsFull));
  ::close(Fd);
}

// Guards against garbage from a stranger on the control port.
Test(control_server, garbage_closes_only_its_own_connection) {
  Bench B;
  Side One;
  Side Two;
  B.open(One, "one", "key");
  B.open(Two, "two", "key");
  const std::string &Address = Two.Server->address();
  sockaddr_in Where{};
  Where.sin_family = AF_INET;
  Where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const std::string Port = Address.substr(Address.rfind(':') + 1);
  Where.sin_port = htons(static_cast<std::uint16_t>(std::stoi(Port)));
  const int Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  cr_assert(
      ::connect(Fd, reinterpret_cast<sockaddr *>(&Where), sizeof(Where)) == 0);
  cr_assert(::send(Fd, "GET / HTTP/1.1\r\n\r\n", 18, 0) == 18);
  cr_assert(B.until(
      [&] { return Two.Events.contains(observe::EventId::PeerMalformed); }));
  cr_assert(core::ok(One.Server->send(Address, Suspect{})));
  cr_assert(B.until([&] { return Two.Got.size() == 1; }));
  ::close(Fd);
}

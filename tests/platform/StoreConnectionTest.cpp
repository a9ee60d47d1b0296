#include "../io/HttpFixture.h"
#include "../io/RawPeer.h"
#include "platform/Store.h"
#include <fmt/format.h>
#include <list>

using namespace filbertvane;
using namespace filbertvane::test;

namespace {

constexpr std::string_view EmptyList = R"({"items":[],"more":false,"end":0})";

/// Listening socket that drops the first packet of each new connection until
/// its queue is taken, as a full link delays it.
class FullListener {
public:
  FullListener() : Fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in Address = loopback(0);
    socklen_t Size = sizeof Address;
    std::ignore = bind(Fd, reinterpret_cast<sockaddr *>(&Address), Size);
    listen(Fd, 0);
    getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Size);
    Port = ntohs(Address.sin_port);
    for (int &Each : Fillers) {
      Each = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      std::ignore = ::connect(
          Each, reinterpret_cast<const sockaddr *>(&Address), sizeof Address);
    }
  }
  ~FullListener() {
    for (const int Each : Fillers)
      ::close(Each);
    ::close(Fd);
  }
  /// Takes connections from now on and answers each with an empty list.
  void open(io::EventLoop &Loop) {
    Watch = std::make_unique<io::Descriptor>(Loop, Fd, [this, &Loop](int) {
      const int Peer = accept(Fd, nullptr, nullptr);
      if (Peer >= 0)
        Connections.push_back(std::make_unique<RawConnection>(
            Loop, Peer, [](RawConnection &From) {
              if (!From.Received.empty())
                From.send(fmt::format(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                    EmptyList.size(), EmptyList));
            }));
    });
    Watch->watch(io::Descriptor::Readable);
  }

  std::uint16_t Port = 0;

private:
  int Fd;
  int Fillers[2] = {-1, -1};
  std::unique_ptr<io::Descriptor> Watch;
  std::list<std::unique_ptr<RawConnection>> Connections;
};

} // namespace

// Guards against calls to the store that are given up before a connection can
// open over a full link.
Test(store_connection, a_slow_connection_is_waited_for) {
  BoundedLoop Bounded;
  FullListener Listener;
  const auto Client =
      io::HttpClient::create(Bounded.Loop, {4, core::Milliseconds(400)});
  platform::Store Store(Bounded.Loop, *Client,
                        {fmt::format("127.0.0.1:{}", Listener.Port)});
  std::optional<bool> Read;
  const core::TimePoint Begin = Bounded.Loop.now().Mono;
  Store.readHosts([&](const core::Result<std::vector<std::string>> &Hosts) {
    Read = core::ok(Hosts);
    Bounded.stop();
  });
  io::Timer Open(Bounded.Loop, [&] { Listener.open(Bounded.Loop); });
  Open.arm(Begin + core::Milliseconds(600));
  Bounded.run();
  cr_assert(*Read);
  // The connection did have to wait.
  cr_assert(Bounded.Loop.now().Mono - Begin > core::Milliseconds(600));
}

// Guards against answers to calls of one era that are taken for those of
// another: an append that was done before the restore, and records that follow
// an offset which was given out again.
Test(store_connection, an_answer_of_another_era_answers_nothing) {
  BoundedLoop Bounded;
  int Era = 1;
  RawServer Server(Bounded.Loop, [&](RawConnection &Connection) {
    if (Connection.Ended || Connection.Received.empty())
      return;
    const bool Lists =
        Connection.Received.find("log-newest") != std::string::npos;
    Connection.Received.clear();
    const std::string Body =
        Lists ? std::string(EmptyList) : std::string(16, '\0');
    Connection.send(fmt::format("HTTP/1.1 200 OK\r\nStore-Era: {}\r\n"
                                "Content-Length: {}\r\n\r\n{}",
                                Era, Body.size(), Body));
  });
  const auto Client = io::HttpClient::create(Bounded.Loop, {});
  platform::Store Store(Bounded.Loop, *Client,
                        {fmt::format("127.0.0.1:{}", Server.Port)});
  std::vector<core::StoreEra> Restores;
  Store.onRestored([&](core::StoreEra Named) { Restores.push_back(Named); });
  std::optional<core::Error> Fault;
  const auto Ended = [&](const auto &Done) {
    Fault.reset();
    if (!core::ok(Done))
      Fault = core::failure(Done);
    Bounded.stop();
  };
  const auto Publish = [&] {
    Store.publishHost(core::NodeId("n1"), "report", Ended);
    Bounded.run();
  };
  const auto Read = [&](std::uint64_t Of) {
    Store.readFrom({core::StoreEra(Of), core::LogOffset(4)},
                   core::Milliseconds(0), Ended);
    Bounded.run();
  };
  Store.readHosts(Ended);
  Bounded.run();
  cr_assert(!Fault && Restores.empty(), "the first era is no restore");
  Publish();
  cr_assert(!Fault);
  Read(1);
  cr_assert(!Fault);
  // The store is restored while a call is under way.
  {
    Era = 2;
    Publish();
    cr_assert(Fault && Fault->Code == core::ErrorCode::StoreRestored);
    cr_assert(Restores == std::vector<core::StoreEra>{core::StoreEra(2)});
    Publish();
    cr_assert(!Fault);
    Read(1);
    cr_assert(Fault && Fault->Code == core::ErrorCode::StoreRestored);
  }
  // An answer that was on its way since before is late.
  {
    Era = 1;
    Store.readHosts(Ended);
    Bounded.run();
    cr_assert(Fault && Fault->Code == core::ErrorCode::StoreRestored);
    cr_assert(Restores.size() == 1);
  }
}

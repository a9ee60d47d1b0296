#include "filbertvane/io/ControlServer.h"
#include "control/Incoming.h"
#include "control/Outgoing.h"
#include "filbertvane/wire/ControlCodec.h"
#include <algorithm>
#include <cerrno>
#include <map>

namespace filbertvane::io {

namespace {

using control::Incoming;
using control::Outgoing;
using control::Socket;

/// Period of the check of all timeouts.
constexpr core::Milliseconds SweepPeriod{100};

class Server final : public ControlServer {
public:
  Server(EventLoop &Loop, const Options &Settings, Receiver OnMessage,
         Logger OnLog, Socket Bound);

  core::Status send(const std::string &Address,
                    const wire::ControlMessage &What) override;
  const ControlTraffic &traffic() const override { return Common.Traffic; }
  std::size_t connections() const override;
  const std::string &address() const override {
    return Common.Settings.Own.ControlAddress;
  }

private:
  Outgoing *peerAt(const std::string &Address);
  void onAcceptable();
  void connectWaiting();
  void refill(core::TimePoint Now);
  void sweep();

  control::Shared Common;
  Socket Listener;
  Descriptor Acceptable;
  Timer Sweep;
  Timer Connects;
  std::vector<std::unique_ptr<Incoming>> In;
  std::map<std::string, std::unique_ptr<Outgoing>> Out;
  double ConnectTokens;
  core::TimePoint RefilledAt;
  bool FullReported = false;
};

Server::Server(EventLoop &Loop, const Options &Settings, Receiver OnMessage,
               Logger OnLog, Socket Bound)
    : Common{Loop,
             Settings,
             std::move(OnMessage),
             std::move(OnLog),
             {},
             core::Random(Settings.Seed)},
      Listener(std::move(Bound)),
      Acceptable(Loop, Listener.fd(), [this](int) { onAcceptable(); }),
      Sweep(Loop, [this] { sweep(); }),
      Connects(Loop, [this] { connectWaiting(); }),
      ConnectTokens(Common.Settings.ConnectBurst), RefilledAt(Common.now()) {
  wire::Hello &Own = Common.Settings.Own;
  if (Own.ControlAddress.empty())
    Own.ControlAddress = control::boundAddress(Listener);
  Own.Proof = wire::helloProof(Own, Common.Settings.SharedKey);
  Acceptable.watch(Descriptor::Readable);
  Sweep.arm(Common.now() + SweepPeriod);
}

core::Status Server::send(const std::string &Address,
                          const wire::ControlMessage &What) {
  const core::Result<std::string> Body = wire::encode(What);
  if (!core::ok(Body))
    return core::failure(Body);
  Outgoing *Peer = peerAt(Address);
  if (!Peer || !Peer->queue(What.index(), core::value(Body)))
    return core::Error{core::ErrorCode::WireQueueFull, Address};
  if (!Peer->connected())
    connectWaiting();
  return std::monostate{};
}

Outgoing *Server::peerAt(const std::string &Address) {
  const auto Found = Out.find(Address);
  if (Found != Out.end())
    return Found->second.get();
  const std::optional<sockaddr_in> Where = control::parseAddress(Address);
  if (!Where)
    return nullptr;
  if (Out.size() >= Common.Settings.MaxOutgoing) {
    if (!FullReported)
      Common.log(observe::EventId::PeerConnectionsFull, Address);
    FullReported = true;
    return nullptr;
  }
  auto Peer = std::make_unique<Outgoing>(Common, Address, *Where);
  return Out.emplace(Address, std::move(Peer)).first->second.get();
}

void Server::onAcceptable() {
  for (;;) {
    Socket Next = control::acceptFrom(Listener);
    if (!Next.open()) {
      // Out of descriptors: the sweep accepts again.
      if (errno == EMFILE || errno == ENFILE)
        Acceptable.watch(Descriptor::None);
      return;
    }
    if (In.size() >= Common.Settings.MaxIncoming) {
      Common.log(observe::EventId::PeerConnectionsFull, "incoming");
      continue;
    }
    In.push_back(std::make_unique<Incoming>(Common, std::move(Next)));
  }
}

void Server::refill(core::TimePoint Now) {
  const double Elapsed =
      std::chrono::duration<double>(Now - RefilledAt).count();
  RefilledAt = Now;
  ConnectTokens = std::min<double>(
      Common.Settings.ConnectBurst,
      ConnectTokens + Elapsed * Common.Settings.ConnectsPerSecond);
}

/// Opens the connections that are due, within the rate; the rest waits for the
/// timer.
void Server::connectWaiting() {
  const core::TimePoint Now = Common.now();
  refill(Now);
  bool Waiting = false;
  for (auto &[Address, Peer] : Out) {
    if (!Peer->wantsConnection(Now))
      continue;
    if (ConnectTokens < 1) {
      Waiting = true;
      break;
    }
    ConnectTokens -= 1;
    Peer->connect();
  }
  if (!Waiting)
    return;
  const double Wait = (1 - ConnectTokens) / Common.Settings.ConnectsPerSecond;
  Connects.arm(Now + core::Microseconds(static_cast<long>(Wait * 1e6) + 1));
}

void Server::sweep() {
  const core::TimePoint Now = Common.now();
  for (auto &One : In)
    One->expire(Now);
  std::erase_if(In, [](const auto &One) { return One->closed(); });
  for (auto &[Address, Peer] : Out)
    Peer->expire(Now);
  std::erase_if(Out,
                [Now](const auto &One) { return One.second->unused(Now); });
  FullReported = FullReported && Out.size() >= Common.Settings.MaxOutgoing;
  connectWaiting();
  Acceptable.watch(Descriptor::Readable);
  Sweep.arm(Now + SweepPeriod);
}

std::size_t Server::connections() const {
  const auto OpenIn = std::count_if(
      In.begin(), In.end(), [](const auto &One) { return !One->closed(); });
  const auto OpenOut =
      std::count_if(Out.begin(), Out.end(),
                    [](const auto &One) { return One.second->connected(); });
  return static_cast<std::size_t>(OpenIn + OpenOut);
}

} // namespace

core::Result<std::unique_ptr<ControlServer>>
ControlServer::listen(EventLoop &Loop, const Options &Settings,
                      Receiver OnMessage, Logger OnLog) {
  const std::optional<sockaddr_in> Where =
      control::parseAddress(Settings.Address);
  Socket Bound;
  if (Where)
    Bound = control::listenOn(*Where);
  if (!Bound.open())
    return core::Error{core::ErrorCode::ProcessListenFailed, Settings.Address};
  return std::unique_ptr<ControlServer>(
      std::make_unique<Server>(Loop, Settings, std::move(OnMessage),
                               std::move(OnLog), std::move(Bound)));
}

} // namespace filbertvane::io

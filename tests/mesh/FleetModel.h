#ifndef FILBERTVANE_TESTS_MESH_FLEETMODEL_H // NOLINT(llvm-header-guard)
#define FILBERTVANE_TESTS_MESH_FLEETMODEL_H

#include "MeshBench.h"
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <queue>
#include <set>

namespace meshbench {

/// Behaviour of the targets of one service.
struct TargetModel {
  std::uint32_t Slots = 8;
  milliseconds RunTime{50};
  /// Probability that the target closes the connection instead of answering.
  double LossProbability = 0;
  /// Probability that the target refuses a request without running it.
  double ShedProbability = 0;
  /// Services that each run calls, one after the other.
  std::vector<std::string> Calls;
  /// Version of which a share of the runs takes eight times as long.
  std::string SlowVersion;
  double SlowShare = 0;
  /// Version of which half of the runs fail at a target with more arrivals a
  /// second than this.
  std::string OverloadedVersion;
  std::size_t FailsAbovePerSecond = 0;
  /// Factor of the run time below and above which no run time is drawn.
  double Spread = 1;
};

/// Nodes, their targets and their callers on one simulated clock.
///
/// Each node is a reducer; messages between nodes take `Latency`. Arrivals at
/// targets are recorded as the operators count them.
class FleetModel {
public:
  static constexpr milliseconds Latency{1};
  static constexpr milliseconds TickPeriod{50};

  struct Arrival {
    core::TimePoint At;
    std::string Service;
    std::string RequestId;
    /// Node at which the request began.
    std::size_t Entry = 0;
    /// Node of the target.
    std::size_t Host = 0;
    /// Version of the target.
    std::string Version;
    /// Not the first arrival of its request, or made by such a run.
    bool Repeat = false;
  };

  explicit FleetModel(std::uint64_t Seed,
                      const SharedRetryBudgetSettings &Budget)
      : Source(Seed), Budget(Budget) {}

  /// Adds a node beside a target of the service, and starts it.
  std::size_t addNode(const std::string &Service,
                      const std::string &Version = "v1");
  /// Tells a running node of an order to move a service.
  void order(std::size_t Node, const MoveOrdered &Order) {
    deliver(Node, Order);
  }
  void start(std::size_t Node);
  void kill(std::size_t Node) { Nodes[Node].State.reset(); }
  /// Sends requests of a client to a node at a constant rate.
  void addClients(std::size_t Node, const std::string &Service,
                  double PerSecond);
  /// The same with the key of a tenant, which is its name.
  void addTenant(std::size_t Node, const std::string &Service,
                 const std::string &Tenant, double PerSecond);
  /// Sets the quotas of tenants at all nodes, and at those that start later.
  void configure(const std::vector<config::Tenant> &NewTenants);
  /// Stops a process for a time; what comes meanwhile waits for it.
  void freeze(std::size_t Node, milliseconds Time) {
    Nodes[Node].FrozenUntil = Now + Time;
  }
  /// Shuts a process down in order; it ends two seconds later.
  void shutDown(std::size_t Node);
  /// Most requests of a tenant that were both sent and arrived at targets in
  /// one window that begins from a time on.
  std::size_t mostInWindow(const std::string &Tenant, milliseconds Window,
                           core::TimePoint From = at(0)) const;
  /// Sends a request that crashes each target that runs it; it is the same
  /// request for the same number.
  void sendCrashing(std::size_t Node, const std::string &Service,
                    std::uint16_t Which = 0);
  /// Makes all runs of a target take a multiple of their time.
  void slowTarget(std::size_t Node, double Factor) {
    Nodes[Node].TimeFactor = Factor;
  }
  /// Sets the rate that a target names in its answers; none for no limit.
  void limitTarget(std::size_t Node, std::optional<double> PerSecond) {
    Nodes[Node].Limit = PerSecond;
  }
  /// Loses all messages between two groups of nodes, or carries them again.
  void cut(const std::set<std::size_t> &Group) { CutOff = Group; }
  void runUntil(std::int64_t Millis);
  core::TimePoint now() const { return Now; }
  std::size_t size() const { return Nodes.size(); }

  /// Targets that crash fall silent instead of closing their connections.
  bool SilentCrashes = false;
  /// Nodes are spread over so many data centres; set before they are added.
  std::size_t DataCentres = 1;
  /// Processes that start read nothing from the store.
  bool StoreAway = false;
  /// Probability that a node does not read from the store how a move ended.
  double MoveEndLoss = 0;
  std::map<std::string, TargetModel> Targets;
  std::vector<Arrival> Arrivals;
  /// How moves ended in the store, by service, and when.
  std::map<std::string, std::pair<MovePhase, core::TimePoint>> MoveEnds;
  /// Times of the answers that a bad version gave late or failed.
  std::vector<core::TimePoint> BadAnswers;
  /// Time and service of each request and call.
  std::vector<std::pair<core::TimePoint, std::string>> Requests;
  /// Targets that crashed, with the request that was the cause.
  std::vector<std::pair<core::TimePoint, std::string>> Crashes;
  /// Answers that clients got, by status.
  std::map<int, std::size_t> Answers;
  /// The same by tenant.
  std::map<std::string, std::map<int, std::size_t>> TenantAnswers;
  /// Nodes are spread over so many regions; set before they are added.
  std::size_t Regions = 1;

private:
  using Done = std::function<void(int Status)>;
  struct Origin {
    /// Set when another node sent the request.
    std::optional<std::size_t> Peer;
    core::CallId PeerCall;
    core::AttemptId PeerAttempt;
    std::size_t Entry = 0;
    Done OnDone;
    int Status = 0;
    /// Method, path and body.
    core::Digest Digest;
  };
  struct Node {
    std::string Name;
    std::string Service;
    std::string Version;
    std::uint64_t Starts = 0;
    std::uint64_t TargetStarts = 1;
    bool TargetDown = false;
    std::uint64_t LastCall = 0;
    std::optional<MeshState> State;
    std::map<core::CallId, Origin> Origins;
    std::map<core::CallId, core::AttemptId> Active;
    std::optional<double> Limit;
    double TimeFactor = 1;
    std::deque<core::TimePoint> ArrivalsOfSecond;
    /// Report in the store.
    std::optional<HostReport> Published;
    core::TimePoint FrozenUntil;
  };
  struct TenantRequest {
    std::string Tenant;
    core::TimePoint SentAt;
  };
  struct Scheduled {
    core::TimePoint At;
    std::uint64_t Number = 0;
    std::function<void()> Run;
    bool operator<(const Scheduled &Other) const {
      return std::tie(Other.At, Other.Number) < std::tie(At, Number);
    }
  };

  void after(core::Microseconds Delay, std::function<void()> Run) {
    Queue.push({Now + Delay, ++LastNumber, std::move(Run)});
  }
  /// Like `after`, but not once the process of the node has ended.
  void afterAt(std::size_t Index, core::Microseconds Delay,
               std::function<void()> Run);
  void tick(std::size_t Index);
  void request(std::size_t Index, const std::string &Service,
               const std::string &Id, core::Digest Digest, Done OnDone,
               const std::string &Tenant = "");
  void announceTarget(std::size_t Index);
  void crashTarget(std::size_t Index, const std::string &Id);
  void deliver(std::size_t Index, const Event &What);
  template <typename T> void handle(std::size_t, const T &) {}
  void handle(std::size_t Index, const request::StartAttempt &Start);
  void handle(std::size_t Index, const request::DeliverAnswer &Answer);
  void handle(std::size_t Index, const request::CancelAttempt &Cancel);
  void handle(std::size_t Index, const request::Refuse &Refusal);
  void handle(std::size_t Index, const SendReport &Report);
  void handle(std::size_t Index, const SendQuota &Sent);
  void handle(std::size_t Index, const PublishReport &Report) {
    Nodes[Index].Published = Report.Report;
  }
  void handle(std::size_t Index, const WriteMove &Write);
  bool reaches(std::size_t From, std::size_t To) const {
    return CutOff.contains(From) == CutOff.contains(To);
  }
  void sendToPeer(std::size_t Index, const request::StartAttempt &Start);
  void runAtTarget(std::size_t Index, const request::StartAttempt &Start);
  bool drawOverloadFault(Node &Host, const TargetModel &Model);
  milliseconds drawRunTime(const Node &Host, const TargetModel &Model);
  void makeCalls(std::size_t Index, const request::StartAttempt &Start,
                 const std::string &Id, std::size_t Next, bool Failed);
  void end(std::size_t Index, const request::AttemptEnded &Ended);
  void conclude(std::size_t Index, core::CallId Id,
                request::AttemptEnded Ended);
  std::size_t indexOf(const core::NodeId &Name) const;
  void sendClients(std::size_t Index, const std::string &Service,
                   core::Microseconds Gap, const std::string &Tenant);
  std::shared_ptr<const config::RoutingTable> routing() const;

  core::Random Source;
  SharedRetryBudgetSettings Budget;
  core::TimePoint Now = at(100000);
  std::uint64_t LastNumber = 0;
  std::uint64_t LastClient = 0;
  std::priority_queue<Scheduled> Queue;
  std::vector<Node> Nodes;
  std::set<std::size_t> CutOff;
  std::set<std::string> Seen;
  std::set<std::string> RepeatedRuns;
  std::uint64_t ConfigVersion = 1;
  std::optional<std::vector<config::Tenant>> Tenants;
  std::map<std::string, TenantRequest> TenantRequests;
};

/// Largest number of arrivals beyond what the shared budget allows for a
/// service in any window; 0 when it always stays within the budget.
double retryBudgetExcess(const FleetModel &Fleet, const std::string &Service,
                         const SharedRetryBudgetSettings &Budget);

} // namespace meshbench

#endif // FILBERTVANE_TESTS_MESH_FLEETMODEL_H

// Messages between the processes of filbertvane and records of its log.
// Regenerate with scripts/gen-thrift after a change; the output is committed.
// Field numbers are never reused.
namespace cpp filbertvane.wire.gen

// --- records of the `config` stream ---

struct MoveOrder { 1: string toVersion, 2: i64 byMs }
struct ServiceSpec { 1: string name, 2: string version, 3: optional MoveOrder move }
struct RouteSpec {
  1: string name, 2: string prefix, 3: string serviceName, 4: bool idempotent,
  5: i8 kind, 6: i64 timeoutMs
}
struct Sheet { 1: i64 base, 2: list<ServiceSpec> services, 3: list<RouteSpec> routes }
struct SheetDelta {
  1: list<ServiceSpec> changedServices, 2: list<string> removedServices,
  3: list<RouteSpec> changedRoutes, 4: list<string> removedRoutes
}
struct MoveId { 1: string serviceName, 2: i64 orderedIn }
struct Verdict {
  1: string route, 2: string reason, 3: i64 newAnswers, 4: i64 newFaults,
  5: i64 oldAnswers, 6: i64 oldFaults
}
struct SheetPublished { 1: i64 base, 2: SheetDelta delta, 3: string publisher, 4: i64 publishedAtMs }
struct LeaseClaimed { 1: string holder, 2: i64 newEpoch }
struct MoveStepped { 1: i64 epoch, 2: MoveId move, 3: i16 share }
struct MoveEnded { 1: i64 epoch, 2: MoveId move, 3: i64 atMs, 4: Verdict decided }
struct MissingDataCentre { 1: string dataCentre, 2: i64 sinceMs }
struct InForceReported { 1: i64 epoch, 2: i64 version, 3: i64 atMs, 4: list<MissingDataCentre> missing }
struct SnapshotTaken { 1: i64 epoch, 2: i64 upTo, 3: i64 stateDigest, 4: binary state }
union RecordBody {
  1: SheetPublished sheet, 2: LeaseClaimed lease, 3: MoveStepped step,
  4: MoveEnded rolledBack, 5: MoveEnded completed, 6: InForceReported inForce,
  7: SnapshotTaken snapshot
}
struct LogRecord { 1: string writer, 2: i64 sequence, 3: RecordBody body }

struct MoveStatus {
  1: MoveId id, 2: string fromVersion, 3: MoveOrder order, 4: i64 acceptedAtMs, 5: i8 stage,
  6: i16 share, 7: optional i64 endedAtMs, 8: optional Verdict decided
}
struct Traffic { 1: string stable, 2: optional string candidate, 3: i16 share }
struct RefusedSheet { 1: i64 offset, 2: string publisher, 3: i32 code, 4: string detail }
struct FleetState {
  1: i64 nextOffset, 2: i64 version, 3: i64 sheetVersion, 4: Sheet current,
  5: map<string, Traffic> trafficOf, 6: list<MoveStatus> moves, 7: list<RefusedSheet> refused,
  8: optional InForceReported inForce, 9: i64 epoch, 10: string leaseHolder,
  11: map<string, i64> lastSequence
}

// --- record of the `lease` stream ---

struct LeaseRenewed { 1: string holder, 2: i64 epoch, 3: i64 sequence }

// --- records of the `claims.<p>` streams ---

struct Claim { 1: binary key, 2: string owner, 3: i64 requestDigest }
struct ClaimBatch { 1: string writer, 2: i64 sequence, 3: list<Claim> claims }

// --- control messages between nodes ---

enum MemberStatus { ALIVE = 1, SUSPECT = 2, FAILED = 3, LEFT = 4 }
struct Target {
  1: string id, 2: string serviceName, 3: string version, 4: i32 slots, 5: i64 sinceMs, 6: bool leaving
}
struct Member {
  1: string node, 2: i64 incarnation, 3: MemberStatus status, 4: string controlAddress,
  5: string peerAddress, 6: optional Target target, 7: i64 revision, 8: bool ready
}
// Position of a node in the `config` stream; the digest shows a divergence.
struct Position { 1: i64 nextOffset, 2: i64 digest, 3: i64 version, 4: bool ready }
struct Probe { 1: i64 sequence, 2: Position position, 3: list<Member> updates }
struct ProbeAck { 1: i64 sequence, 2: Position position, 3: list<Member> updates }
struct IndirectProbe { 1: i64 sequence, 2: string target }
struct IndirectProbeAck { 1: i64 sequence, 2: string target }
struct JoinRequest { 1: Member member }
struct JoinReply { 1: list<Member> members, 2: Position position }
struct Leave { 1: Member member }
// Records in log order, starting at `first`; skipped offsets are listed so that
// records which only log readers need are not sent.
struct StoredRecord { 1: i64 offset, 2: binary record }
enum LogEnd { NOT_ASKED = 0, REACHED = 1, FURTHER = 2, UNREAD = 3 }
struct Records {
  1: i64 first, 2: list<StoredRecord> records, 3: Position after, 4: LogEnd logEnd = LogEnd.NOT_ASKED
}
struct RecordsRequest { 1: i64 first, 2: bool wantsSnapshot, 3: bool wantsEnd }
struct Snapshot { 1: Position position, 2: binary state }
struct ServiceSummary {
  1: string serviceName, 2: string version, 3: i32 targets, 4: i32 slots, 5: i32 freeSlots,
  6: list<string> entryAddresses
}
struct DataCentreSummary {
  1: string dataCentre, 2: string region, 3: i64 revision, 4: list<ServiceSummary> services,
  5: i64 lowestVersion, 6: list<string> leadAddresses, 7: i64 lowestNext,
  8: string leadNode, 9: i64 servicesSince, 10: bool partial
}
struct Summaries { 1: list<DataCentreSummary> dataCentres }
struct RouteEvidence {
  1: string route, 2: i64 newAnswers, 3: i64 newFaults, 4: i64 oldAnswers, 5: i64 oldFaults,
  6: list<i64> newLatency, 7: list<i64> oldLatency,
  8: list<i64> newCrashes, 9: list<i64> oldCrashes
}
struct MoveEvidence { 1: MoveId move, 2: list<RouteEvidence> routes }
// Sums since the sender's start; a receiver keeps the newest of each sender.
struct Evidence { 1: string sender, 2: i64 incarnation, 3: i64 revision, 4: list<MoveEvidence> moves }
struct LocalRollback { 1: MoveId move, 2: string dataCentre, 3: Verdict decided, 4: i64 atMs,
  5: i16 share, 6: bool proven }
struct Suspect { 1: i64 requestDigest, 2: i32 crashes }
struct ClaimRequest { 1: i64 id, 2: Claim claim, 3: i64 deadlineMs }
struct ClaimReply { 1: i64 id, 2: string owner, 3: i32 errorCode }
struct Hello {
  1: string node, 2: string dataCentre, 3: string region, 4: i64 incarnation, 5: binary proof,
  6: string controlAddress
}

union ControlMessage {
  1: Hello hello, 2: Probe probe, 3: ProbeAck probeAck, 4: IndirectProbe indirectProbe,
  5: IndirectProbeAck indirectProbeAck, 6: JoinRequest joinRequest, 7: JoinReply joinReply,
  8: Leave leave, 9: Records records, 10: RecordsRequest recordsRequest, 11: Snapshot snapshot,
  12: Summaries summaries, 13: Evidence evidence, 14: LocalRollback localRollback,
  15: Suspect suspect, 16: ClaimRequest claimRequest, 17: ClaimReply claimReply
}

// --- reports between the nodes of a mesh ---

// Field 4 was the sum of the answer times. The histograms have no trailing zeros.
struct RouteTally {
  1: string route, 2: i64 answers, 3: i64 faults, 5: list<i32> times, 6: list<i32> cutOffTimes
}
struct TargetReport {
  1: string target, 2: string serviceName, 3: string version, 4: i8 state,
  5: i32 running, 6: i32 waiting, 7: i32 slots, 8: i32 meanMs, 9: i32 faultPermille,
  10: list<RouteTally> tallies, 11: optional i32 linkMs, 12: optional double limitPerSecond,
  13: list<RouteTally> stepTallies
}
struct MoveReport {
  1: string serviceName, 2: string toVersion, 3: i64 order, 4: i8 phase, 5: i64 elapsedMs,
  6: optional i64 orderEra
}
struct LeftTarget { 1: string target, 2: i64 born }
struct SuspectRequest { 1: i64 requestDigest, 2: list<i64> crashes }
struct HostReport {
  1: string node, 2: i64 start, 3: i64 sequence, 4: string address, 5: string dataCentre,
  6: string region, 7: bool leaving, 8: optional TargetReport target, 9: i64 position,
  10: list<MoveReport> moves, 11: bool storeReachable,
  12: optional LeftTarget left, 13: optional i64 exitsInMs,
  14: optional list<SuspectRequest> suspects, 15: optional LeftTarget recipientLeft,
  16: optional i64 era, 17: optional i64 lostRecords
}
// Operators' records as one node hands them to another.
// Positions without an era are of era 0; a record without another position was
// seen where it was written.
struct OperatorRecord {
  1: string key, 2: i64 offset, 3: binary value, 4: optional i64 era,
  5: optional i64 seenOffset, 6: optional i64 seenEra, 7: optional bool superseded
}
struct OperatorRecords {
  1: i64 position, 2: list<OperatorRecord> records, 3: optional i64 era,
  4: optional i64 lowestEnd
}

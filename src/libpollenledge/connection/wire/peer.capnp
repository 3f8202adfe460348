@0xd2a8c1f0b3e94a57;
# Messages between the system's own processes: entry to entry, and control
# agent to entry on the same instance.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pollenledge::wire");

struct NodeId { name @0 :Text; incarnation @1 :UInt64; }
struct RequestId { node @0 :NodeId; sequence @1 :UInt64; }
struct UpstreamId { name @0 :Text; incarnation @1 :UInt64; }
struct HybridTime { wallMicros @0 :Int64; logical @1 :UInt32; }

# Every call carries the sender's credentials and clock.
struct Header {
  token @0 :Text;
  clock @1 :HybridTime;
}

struct CustomerDemand { customer @0 :Text; tokensPerSecond @1 :Float64; }

# Units used since the node's start, which only grow.
struct CustomerUse { customer @0 :Text; units @1 :Float64; }

# Streams of a service since the node's start, and how many began late.
struct LatenessCount { service @0 :Text; streams @1 :UInt64; late @2 :UInt64; }

struct MemberRecord {
  id @0 :NodeId;
  heartbeat @1 :UInt64;
  domain @2 :Text;
  peerAddress @3 :Text;
  adminAddress @4 :Text;
  leaving @5 :Bool;
  left @6 :Bool;
  tablesVersion @7 :UInt64;
  activeRequests @8 :UInt32;
  demands @9 :List(CustomerDemand);
  uses @10 :List(CustomerUse);
  # Part of a processor core that the node may use, in percent; 0: not known.
  processorPercent @11 :UInt16;
  lateness @12 :List(LatenessCount);
  # Services to whose upstreams the node has no path.
  unreachableServices @13 :List(Text);
  # The node checks the version that a relayed request asks for.
  checksTablesVersion @14 :Bool;
}

# What is left of a customer's limit, and what of the receiver's own use is
# counted in it.
struct LimitLevel { customer @0 :Text; units @1 :Float64; countedUse @2 :Float64; }

struct Fingerprint { high @0 :UInt64; low @1 :UInt64; }

# Without a crash: an upstream responded and did not crash.
struct SuspectReport {
  fingerprint @0 :Fingerprint;
  crash @1 :UInt64;
  shared @2 :Bool;
  ageMicros @3 :Int64;
  # From sending the request to the crash.
  runMicros @4 :Int64;
  # How far the run of the request had come, a RunPhase. An earlier release
  # states none.
  phase @5 :UInt8;
}

# What an upstream said of its load.
struct HeardLoad {
  upstream @0 :Text;
  incarnation @1 :UInt64;
  running @2 :Int32;
  waiting @3 :Int32;
  slots @4 :Int32;
  # How long work takes there, in percent of what is usual.
  workPercent @5 :Int32 = 100;
  ageMicros @6 :Int64;
}

# An upstream as the platform's list names it. Remaining time is -1 where it is
# not known.
struct ListedForwardUpstream {
  id @0 :UpstreamId;
  address @1 :Text;
  service @2 :Text;
  domain @3 :Text;
  slots @4 :Int32;
  leaving @5 :Bool;
  reclaimable @6 :Bool;
  leavesInMicros @7 :Int64 = -1;
  warmupMicros @8 :Int64;
  revision @9 :Int64;
  softwareVersion @10 :Text;
}

struct RemovedUpstream { name @0 :Text; revision @1 :Int64; }

# What changed in the list of upstreams since an older revision.
struct UpstreamChanges {
  to @0 :Int64;
  changed @1 :List(ListedForwardUpstream);
  removed @2 :List(RemovedUpstream);
  digest @3 :UInt64;
  ageMicros @4 :Int64 = -1;
}

struct CustomerCount { customer @0 :Text; count @1 :Int64; }

# What a node counted in one window of usage.
struct UsageReport { window @0 :Int64; counts @1 :List(CustomerCount); }

# Requests per second that an upstream accepts from all nodes together.
struct RateLimitReport {
  upstream @0 :UpstreamId;
  requestsPerSecond @1 :Float64;
  # The upstream states no limit any more.
  ended @2 :Bool;
  ageMicros @3 :Int64;
}

# Permits for requests to an upstream with such a limit.
struct PermitCount { upstream @0 :UpstreamId; count @1 :Int32; }

# The version of the software that began a stream, which it is bound to.
struct StreamRecord {
  stream @0 :Fingerprint;
  service @1 :Text;
  softwareVersion @2 :Text;
}

# What a node knows about the speed of an upstream, in 24 bytes.
struct SpeedReport {
  # Hash of the upstream's name and incarnation.
  upstream @0 :UInt64;
  # Intervals: seconds. Speed: 1 is the median of the service.
  value @1 :Float32;
  ageMillis @2 :UInt32;
  running @3 :UInt16;
  # Intervals: their number. Speed: weight of the observations behind it.
  weight @4 :UInt16;
  kind @5 :Kind;

  enum Kind { intervals @0; speed @1; stalled @2; progressing @3; }
}

# Changes of what upstreams retain of prompts. Upstreams (name and incarnation)
# and segments are named by hashes, see `PromptCacheReport`.
struct PromptCacheReport {
  # The upstream's hash in the upper half, the segment's in the lower half.
  added @0 :List(UInt64);
  evicted @1 :List(UInt64);
  # Upstreams whose cache events are being read.
  followed @2 :List(UInt32);
  # Upstreams about which everything that was reported earlier is void.
  reset @3 :List(UInt32);
}

# Admission level of a service, see `FleetAdmission`.
struct AdmissionLevel {
  service @0 :Text;
  # 0 if the sender reports its demand; otherwise the sender's level.
  version @1 :UInt64;
  level @2 :Float64;
  ageMicros @3 :Int64;
  pressure @4 :Float32;
  clearingMicros @5 :Int64;
  shares @6 :List(AdmissionShare);
  hotCustomers @7 :List(AdmissionCustomer);
  demand @8 :List(AdmissionClassDemand);
  customers @9 :List(AdmissionCustomer);
}

# The part of a class of requests that is admitted.
struct AdmissionShare {
  priority @0 :Int16;
  route @1 :Text;
  share @2 :Float32;
  firstEventSeconds @3 :Float32;
  promptTokens @4 :Float32;
  responseTokens @5 :Float32;
  readShare @6 :Float32;
  hintFactor @7 :Float32;
}

# In a level the customer's excess over its usual share, in a demand the slots
# that its requests would use.
struct AdmissionCustomer { customer @0 :Text; value @1 :Float32; }

# What a node saw lately of a class of requests.
struct AdmissionClassDemand {
  priority @0 :Int16;
  route @1 :Text;
  targetSeconds @2 :Float32;
  offeredPerSecond @3 :Float32;
  refusedPerSecond @4 :Float32;
  answeredPerSecond @5 :Float32;
  unanswered @6 :Float32;
  firstEventSeconds @7 :Float32;
  slotSeconds @8 :Float32;
  promptTokens @9 :Float32;
  responseTokens @10 :Float32;
  hintError @11 :Float32;
  running @12 :Float32;
}

# What a node observed of the responses on one route since a roll-out began.
struct RolloutEvidence {
  route @0 :Text;
  # At the target of the roll-out; otherwise at another version.
  atTarget @1 :Bool;
  underLoad @2 :Bool;
  answers @3 :UInt32;
  failed @4 :UInt32;
  starts @5 :UInt32;
  slowStarts @6 :UInt32;
  paced @7 :UInt32;
  slowlyPaced @8 :UInt32;
}

# The share of a service's requests that may go to the target of a roll-out. An
# entry without a service states that the list is complete.
struct RolloutShare {
  service @0 :Text;
  target @1 :Text;
  # Store revision of the order.
  order @2 :Int64;
  step @3 :UInt32;
  share @4 :Float64;
  ageMicros @5 :Int64;
  # The roll-out is completed or reverted.
  ended @6 :Bool;
  # In a report to the holder of the duties: counts of the sender.
  evidence @7 :List(RolloutEvidence);
}

# A datagram between forwarding nodes. The first record is the sender's.
struct NodeHeartbeat {
  records @0 :List(MemberRecord);
  asksForLevels @1 :Bool;
  levels @2 :List(LimitLevel);
  # In a question the sender's clock, in its answer the same figure again.
  askedAtMicros @3 :Int64;
  # Age of the newest proof that the first record's tables are in force; -1 if
  # there is none.
  proofAgeMicros @4 :Int64 = -1;
  suspects @5 :List(SuspectReport);
  # The sender's estimate of the calendar time.
  calendarMicros @6 :Int64;
  loads @7 :List(HeardLoad);
  # In a question how far the sender knows the list of upstreams.
  upstreamsRevision @8 :Int64;
  # In an answer what changed in that list since; may be missing.
  upstreamChanges @9 :UpstreamChanges;
  # Counts of usage that the receiver is to write to the store with its own.
  usage @10 :List(UsageReport);
  # In an answer the windows whose counts were taken.
  usageTaken @11 :List(Int64);
  # The sender follows what all nodes do, and `levels` are to be believed.
  leads @12 :Bool;
  rateLimits @13 :List(RateLimitReport);
  permitsRequested @14 :List(PermitCount);
  permitsGranted @15 :List(PermitCount);
  # In a request the sender's clock, with permits the same figure again.
  permitsRequestedAtMicros @16 :Int64;
  # Upstreams that said in a response that they leave.
  leavingUpstreams @17 :List(UpstreamId);
  streams @18 :List(StreamRecord);
  speeds @19 :List(SpeedReport);
  promptCaches @20 :List(PromptCacheReport);  # At most one.
  admissionLevels @21 :List(AdmissionLevel);
  rolloutShares @22 :List(RolloutShare);
  # May be missing.
  tablesRequest @23 :TablesRequest;
  # The answer to one; may be missing.
  tablesReply @24 :TablesReply;
}

# Asks for tables that are later than the sender's.
struct TablesRequest {
  knownVersion @0 :UInt64;
  # The version of which the sender has the first bytes; 0 if it has none.
  partialVersion @1 :UInt64;
  receivedBytes @2 :UInt32;
  # The sender's clock.
  requestedAtMicros @3 :Int64;
}

struct TablesReply {
  # As in the request.
  requestedAtMicros @0 :Int64;
  # Missing if the sender's tables are not later.
  part @1 :TablesPart;
}

# A part of the document of one version of the tables, as the store has it.
struct TablesPart {
  version @0 :UInt64;
  documentBytes @1 :UInt32;
  offset @2 :UInt32;
  bytes @3 :Data;
}

enum UpstreamState { live @0; leaving @1; gone @2; }
enum HolderWord { running @0; neverRuns @1; ran @2; notMine @3; unreachable @4; }

struct RequestSpec {
  customer @0 :Text;
  model @1 :Text;
  rank @2 :Int8;            # -1 if the caller named none.
  stream @3 :Bool;
  promptTokens @4 :Int64;
  maxTokens @5 :Int64;
  prefixHashes @6 :List(UInt64);
  fingerprint @7 :Fingerprint;
  bodySha256 @8 :Text;
}

struct HandedOverRequest {
  id @0 :RequestId;
  spec @1 :RequestSpec;
  deliveredTokens @2 :Int64;
  attempts @3 :UInt32;
  upstream @4 :UpstreamId;
  path @5 :Text;
  body @6 :Data;
  delivered @7 :Data;       # The answer's bytes that were received so far.
}

struct Upstream {
  id @0 :UpstreamId;
  address @1 :Text;
  pool @2 :Text;
  domain @3 :Text;
  machineClass @4 :Text;
  reclaimable @5 :Bool;
}

# Remaining time is -1 where it is not known.
interface Peer {
  heartbeat @0 (header :Header, heartbeat :NodeHeartbeat) -> ();
  upstreamNotice @1 (header :Header, upstream :UpstreamId, state :UpstreamState, remainingMicros :Int64) -> ();
  queryHolder @2 (header :Header, id :RequestId) -> (word :HolderWord, outcome :Text);
  handOver @3 (header :Header, request :HandedOverRequest) -> (accepted :Bool);
  # The answer of a request that runs or ran here, from `offset` on.
  fetch @4 (header :Header, id :RequestId, customer :Text, offset :UInt64) -> (found :Bool, finished :Bool, httpStatus :UInt16, contentType :Text, data :Data);
  # The tables in force here, for a node that starts while the key-value
  # service is down.
  tables @5 (header :Header) -> (version :UInt64, routes :Text, pools :Text);
}

# From the control agent to the entry on the same instance.
interface EntryControl {
  applyTables @0 (header :Header, version :UInt64, routes :Text, pools :Text) -> (versionInForce :UInt64);
  listUpstreams @1 (header :Header, upstreams :List(Upstream)) -> ();
  forwardNotice @2 (header :Header, upstream :UpstreamId, state :UpstreamState, remainingMicros :Int64, source :Text) -> ();
  drain @3 (header :Header, remainingMicros :Int64) -> ();
  # Status, time line and usage as JSON, passed on to operators as they are.
  report @4 (header :Header) -> (status :Text, timeLine :Text, usage :Text, routes :Text, pools :Text, version :UInt64);
}

# What an entry listens with.
interface EntryLink extends(Peer, EntryControl) {}

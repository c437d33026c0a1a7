@0xe6f2a1c94b7d3058;
# Messages between hosts. _messages.py has an attrs class for each struct except
# Envelope, and describes it; its field names are the ones here in snake case.

struct MemberNews {
  incarnation @0 :Text;
  address @1 :Text;
  state @2 :Text;
  region @3 :Text;
  failureDomain @4 :Text;
  counter @5 :UInt64;
  revision @6 :UInt64;
}

struct Probe {
  sender @0 :MemberNews;
  news @1 :List(MemberNews);
  revision @2 :UInt64;
  confirmedAgeS @3 :Float64;
}

struct ProbeReply {
  sender @0 :MemberNews;
  news @1 :List(MemberNews);
  revision @2 :UInt64;
  confirmedAgeS @3 :Float64;
}

struct ProbeVia {
  target @0 :Text;
}

struct Ack {
  ok @0 :Bool;
  detail @1 :Text;
}

struct GrantRequest {
  grant @0 :Text;
  group @1 :Text;
  online @2 :Bool;
  customer @3 :Text;
  promptTokens @4 :UInt32;
  maxTokens @5 :UInt32;
  prefixHashes @6 :List(UInt64);
  engines @7 :List(Text);
  adapter @8 :Text;
  waitS @9 :Float64;
  origin @10 :Text;
  dueInS @11 :Float64;
}

struct GrantReply {
  granted @0 :Bool;
  engine @1 :Text;
  owner @2 :Text;
  retryAfterS @3 :Float64;
  code @4 :UInt32;
  queued @5 :UInt32;
  running @6 :UInt32;
}

struct GrantRelease {
  group @0 :Text;
  grant @1 :Text;
  tokens @2 :UInt32;
  failed @3 :Bool;
  cachedTokens @4 :UInt32;
}

struct GrantRevoke {
  grants @0 :List(Text);
}

struct RunningGrant {
  grant @0 :Text;
  engine @1 :Text;
  online @2 :Bool;
  customer @3 :Text;
  tokensLeft @4 :UInt32;
}

struct RunningReport {
  group @0 :Text;
  origin @1 :Text;
  grants @2 :List(RunningGrant);
}

struct RevisionNotice {
  revision @0 :UInt64;
  address @1 :Text;
}

struct ChangesRequest {
  after @0 :UInt64;
}

struct ChangesReply {
  revision @0 :UInt64;
  changes @1 :List(Data);
}

struct SuspectNotice {
  fingerprint @0 :Text;
  crashes @1 :UInt32;
  convicted @2 :Bool;
}

struct CancelNotice {
  job @0 :Text;
}

struct ExplainRequest {
  request @0 :Text;
}

struct ExplainReply {
  steps @0 :List(Text);
}

struct Envelope {
  union {
    probe @0 :Probe;
    probeReply @1 :ProbeReply;
    probeVia @2 :ProbeVia;
    ack @3 :Ack;
    grantRequest @4 :GrantRequest;
    grantReply @5 :GrantReply;
    grantRelease @6 :GrantRelease;
    grantRevoke @7 :GrantRevoke;
    runningReport @8 :RunningReport;
    revisionNotice @9 :RevisionNotice;
    changesRequest @10 :ChangesRequest;
    changesReply @11 :ChangesReply;
    suspectNotice @12 :SuspectNotice;
    cancelNotice @13 :CancelNotice;
    explainRequest @14 :ExplainRequest;
    explainReply @15 :ExplainReply;
  }
}

interface Peer {
  call @0 (message :Envelope) -> (reply :Envelope);
}

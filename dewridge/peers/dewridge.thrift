/**
 * Messages between the system's own processes. Each frame is a four-byte
 * big-endian length and one Envelope in the binary protocol.
 * Fields are only ever added, as optional ones, with a new number, so that two
 * releases run side by side. `make generate` writes wire/ from this file.
 */
namespace py wire

// ---- connections ----------------------------------------------------------

struct Hello {
  1: string magic          // "dewridge"
  2: i32 version           // newest protocol version spoken
  3: i32 oldest_version    // oldest one still understood
  4: string deployment     // hosts of another deployment are refused
  5: string host
  6: i64 incarnation
  7: string failure_domain
}

struct Refusal { 1: i32 code, 2: string reason, 3: optional double retry_after }

// ---- membership -------------------------------------------------------------

struct MemberRecord {
  1: string host
  2: i64 incarnation
  3: string failure_domain
  4: string address
  5: string frontend_address
  6: i32 state             // MemberState
  7: i32 refutation
}

// Something every host should hear of, spread with the membership's probes.
struct Rumor {
  1: string kind           // "server_leaving", "configuration", "fenced", ...
  2: string subject
  3: i64 version           // a higher version replaces a lower one
  4: binary payload
  5: optional double age   // seconds since it was first spread
  6: optional bool routine // it can wait for the next probe
  7: optional double lifetime // seconds after which all forget it; absent: never
}

// `target_incarnation` is the one that the prober means; 0: whoever answers.
struct Probe {
  1: i64 sequence
  2: list<MemberRecord> members
  3: list<Rumor> rumors
  4: optional i64 target_incarnation
}
struct ProbeReply {
  1: i64 sequence
  2: list<MemberRecord> members
  3: list<Rumor> rumors
  4: optional i64 incarnation
}
struct RelayProbe { 1: MemberRecord target, 2: double timeout }
struct RelayProbeReply { 1: bool reached }
struct Join { 1: MemberRecord me }
struct JoinReply { 1: list<MemberRecord> members, 2: list<Rumor> rumors }

// Two hosts compare all they know: first a hash for each bucket of it, then the
// versions in the buckets that differ, then what one of them lacks.
struct MemberVersion { 1: string host, 2: i64 incarnation, 3: i32 refutation, 4: i32 state }
struct RumorVersion { 1: string kind, 2: string subject, 3: i64 version }
struct CompareState { 1: list<i64> hashes }
struct CompareStateReply {
  1: list<i32> differing
  2: list<MemberVersion> members
  3: list<RumorVersion> rumors
}
struct ExchangeState {
  1: list<MemberRecord> members
  2: list<Rumor> rumors
  3: list<string> wanted_members
  4: list<RumorVersion> wanted_rumors
}
struct ExchangeStateReply { 1: list<MemberRecord> members, 2: list<Rumor> rumors }

// ---- configuration ------------------------------------------------------------

struct PullConfiguration { 1: i64 revision }
struct ConfigurationObject { 1: string name, 2: i64 revision, 3: binary value }
struct ConfigurationChanges {
  1: i64 revision
  2: list<ConfigurationObject> changed
  3: bool complete         // false: `changed` is the whole, not a delta
  4: list<string> names    // all object names at this revision
}

// ---- requests -------------------------------------------------------------------

struct RequestRecord {
  1: string request        // account/key
  2: string service_name
  3: string operation
  4: i32 number            // highest submission number seen
  5: double deadline
  6: string input
  7: i32 max_tokens
  8: bool idempotent
  9: string profile
  10: double accepted_at
  11: string owner
  12: i64 owner_incarnation
  13: i64 generation
  14: list<string> replicas // hosts that keep a copy
  15: i32 attempts
  16: i32 recomputed
  17: double cost
  18: bool claimed         // a claim was asked for; the call may have been sent
  19: optional string cache_handle
  20: i64 epoch            // raised with each change of owner; a higher one wins
  21: optional bool maybe_run  // an attempt may have started; unset counts as true
  22: optional bool pending    // its owner has not accepted it yet
  23: optional string digest   // of the input, in hexadecimal
  24: optional string version  // software version of the server that wrote the tokens
}

struct RequestEnd {
  1: i32 code
  2: string reason
  3: double retry_after    // below 0: none
  4: string body
  5: i32 tokens
  6: i32 attempts
  7: i32 recomputed
  8: double cost
  9: string backend_server
  10: string failure_domain
  11: string profile
  12: i32 number           // submission number that a refusal holds for
}

// Tokens of one request for a replica or a follower.
struct TokenRun {
  1: string request
  2: i64 generation
  3: i32 offset
  4: list<string> tokens
  5: optional RequestEnd ended
  6: i64 epoch
  7: optional string version   // software version of the server that wrote the tokens
}

struct Replicate {
  1: RequestRecord record
  2: list<string> tokens
  3: optional RequestEnd ended
  4: optional i64 supersedes   // epoch of a live record that gives way to this one
}
// `known` is set when the replica knows the request under another owner.
struct ReplicateReply { 1: bool stored, 2: optional RequestRecord known, 3: optional RequestEnd ended }

// Closes a submission and all earlier ones, so that no copy of them runs later.
// With `withdraw` the sender takes its own record back and nothing is closed.
struct CloseSubmission {
  1: string request
  2: RequestEnd ended      // its number says up to which submission
  3: string owner
  4: i64 owner_incarnation
  5: i64 epoch
  6: bool withdraw
}
// `known` or `known_end`: the request lives or has ended here; it is not closed.
struct CloseSubmissionReply {
  1: bool closed
  2: optional RequestRecord known
  3: optional RequestEnd known_end
}

// One frame for all streams of a pair of hosts, every few tens of milliseconds.
struct ReplicateTokens { 1: list<TokenRun> runs }
// Requests that the replica does not know or knows under a higher epoch.
struct ReplicateTokensReply { 1: list<string> unknown, 2: list<string> superseded }

struct Find { 1: string request, 2: optional bool with_tokens }
struct FindReply {
  1: bool found
  2: optional RequestRecord record
  3: optional RequestEnd ended
  4: i32 tokens
  5: optional list<string> token_list
}

// A follower is sent FollowTokens under `stream` until it has the end.
struct Follow { 1: string request, 2: i64 generation, 3: i32 offset, 4: i64 stream }
struct FollowReply { 1: bool found, 2: i64 generation }
struct FollowTokens {
  1: i64 stream
  2: i64 generation
  3: i32 offset
  4: list<string> tokens
  5: optional RequestEnd ended
  6: bool moved
}
struct StopFollow { 1: i64 stream }

// A leaving owner gives a request with its state to a replica.
struct Handoff { 1: RequestRecord record, 2: list<string> tokens, 3: bool released }
struct HandoffReply { 1: bool taken }

struct Cancel { 1: string request }
struct CancelReply { 1: bool found, 2: optional RequestEnd ended }

// ---- claims ------------------------------------------------------------------------

struct ClaimRequest {
  1: string request
  2: string holder
  3: i64 holder_incarnation
  4: i64 epoch
  5: bool release          // the holder proves that it sent nothing
}
struct Claim { 1: string bucket, 2: list<ClaimRequest> requests }
// One result a request: 0 granted, otherwise a result code with the holder.
struct ClaimResult { 1: i32 code, 2: string holder, 3: i64 holder_incarnation, 4: string reason }
struct ClaimReply { 1: list<ClaimResult> results }

// ---- accounting ---------------------------------------------------------------------

struct Usage {
  1: string profile
  2: map<string, double> counters
}
struct MergeUsage { 1: string host, 2: i64 incarnation, 3: list<Usage> usages }
struct MergeUsageReply { 1: bool taken }
struct ReadUsage { 1: string profile }
struct ReadUsageReply { 1: list<MergeUsage> usages }

// ---- envelope -----------------------------------------------------------------------

struct Envelope {
  1: i64 call               // 0: no reply is wanted
  2: i64 reply_to           // 0: not a reply
  3: optional Hello hello
  4: optional Refusal refusal
  10: optional Probe probe
  11: optional ProbeReply probe_reply
  12: optional RelayProbe relay_probe
  13: optional RelayProbeReply relay_probe_reply
  14: optional Join join
  15: optional JoinReply join_reply
  16: optional CompareState compare_state
  17: optional CompareStateReply compare_state_reply
  18: optional ExchangeState exchange_state
  19: optional ExchangeStateReply exchange_state_reply
  20: optional PullConfiguration pull_configuration
  21: optional ConfigurationChanges configuration_changes
  30: optional Replicate replicate
  31: optional ReplicateReply replicate_reply
  32: optional ReplicateTokens replicate_tokens
  33: optional ReplicateTokensReply replicate_tokens_reply
  34: optional Find find
  35: optional FindReply find_reply
  36: optional Follow follow
  37: optional FollowReply follow_reply
  38: optional FollowTokens follow_tokens
  39: optional StopFollow stop_follow
  40: optional Handoff handoff
  41: optional HandoffReply handoff_reply
  42: optional Cancel cancel
  43: optional CancelReply cancel_reply
  44: optional CloseSubmission close_submission
  45: optional CloseSubmissionReply close_submission_reply
  50: optional Claim claim
  51: optional ClaimReply claim_reply
  60: optional MergeUsage merge_usage
  61: optional MergeUsageReply merge_usage_reply
  62: optional ReadUsage read_usage
  63: optional ReadUsageReply read_usage_reply
}

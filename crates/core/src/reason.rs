//! Reason codes of decisions and refusals, with their descriptions.

use serde::Serialize;

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $slug:literal, $description:literal;)*) => {
        /// Reason of a decision or a refusal.
        ///
        /// Bills store the number, so its meaning must not change. Callers see the slug, which is
        /// stable too.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ReasonCode {
            $($(#[$doc])* #[doc = $description] $name = $code,)*
        }

        impl ReasonCode {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [ReasonCode] = &[$(ReasonCode::$name,)*];

            /// Stable code that callers see.
            pub const fn slug(self) -> &'static str {
                match self { $(ReasonCode::$name => $slug,)* }
            }

            /// Description for people, shown by `explain` and in error messages.
            pub const fn description(self) -> &'static str {
                match self { $(ReasonCode::$name => $description,)* }
            }
        }
    };
}

reasons! {
    DefaultVersion = 1, "default_version", "the model's default version";
    SessionVersion = 2, "session_version", "the session keeps its version";
    RolloutShare = 3, "rollout_share", "chosen for the version under roll-out, within its exposure budget";
    CascadeCheap = 4, "cascade_cheap", "the cheap rung meets the quality target for this request class";
    CascadeGated = 5, "cascade_gated", "the cheap rung first, its answer rated before it is released";
    CascadeStrong = 6, "cascade_strong", "the strong rung: cheaper ones do not meet the target, or would cost more with escalation";
    CascadeSafe = 7, "cascade_safe", "the safe rung: too little is known of this request class, or ratings are down";
    Escalated = 8, "escalated", "the cheap answer was rated too low, so the next rung answered";
    PrefixAffinity = 9, "prefix_affinity", "the replica that holds this prompt prefix, within the load bound";
    TwoChoices = 10, "two_choices", "the less loaded of two replicas";
    Retried = 11, "retried", "an attempt failed and the retry budget allowed another";
    FirstClaim = 12, "first_claim", "first live claim for this key in the log's order";
    ExactVersion = 13, "exact_version", "the caller named the version";
    ServiceRoute = 14, "service_route", "a plain service";
    NoHealthy = 15, "all_ejected", "every replica is ejected, so ejection is ignored";
    Queued = 16, "queued", "waited for a replica";
    CascadeExplore = 17, "cascade_explore", "tried on the cheap rung to learn how it does, and rated";
    UnknownKey = 40, "invalid_api_key", "no client account has this caller key";
    NotAllowed = 41, "model_not_allowed", "the bundle does not allow this account the model, version or service";
    Withdrawn = 42, "version_withdrawn", "the version was withdrawn; open a new session";
    NoReplica = 43, "no_replica", "no replica serves this version now";
    QueueLate = 44, "overloaded", "the queue can't serve this request in time";
    QueueFull = 45, "queue_full", "the account's queue is full";
    NoBundle = 46, "no_bundle", "no bundle is in force on this box yet";
    CutOff = 47, "box_cut_off", "this box can't tell whether its bundle is current; use another address";
    Stopping = 48, "box_stopping", "this box is stopping; use another address";
    BadToken = 49, "invalid_session", "the session token is not honoured";
    BadClaimKey = 50, "invalid_idempotency_key", "the operation needs a UUIDv7 Idempotency-Key";
    KeyExpired = 51, "idempotency_key_expired", "the key is older than the log remembers";
    AlreadyClaimed = 52, "already_claimed", "an earlier request with this key was let run";
    LogDown = 53, "log_unavailable", "the claim could not be written to the log in time";
    BillBacklog = 54, "bill_backlog", "too many bills wait for the log";
    Deadline = 55, "deadline", "the deadline passed before an answer came";
    ReplicaFailed = 56, "replica_failed", "the replica failed after the request may have run";
    StreamBroken = 57, "stream_broken", "the replica's answer ended before its end marker";
    WrongEcho = 58, "answer_mismatch", "the replica's answer was for another request";
    Cancelled = 59, "cancelled", "the caller went away";
    SessionDrained = 60, "version_drained", "the version takes no new sessions";
    UnknownTarget = 61, "model_not_found", "the bundle names no such model, version, cascade or service";
}

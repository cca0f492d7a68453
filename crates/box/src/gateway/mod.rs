//! The routing gateway: a box that routes requests by host and path prefix on the users' platform.
//!
//! [`driver`] holds the reducer's state and applies events to it. [`entry`] accepts callers'
//! connections, [`exchange`] serves one request, [`attempts`] runs its attempts, [`replica_call`] sends one of them, [`responses`] builds the caller's response,
//! [`relay`] forwards a stream and resumes it at another place, [`stream_reader`] reads it, [`event_splitter`]
//! splits it into whole events, [`pool`] keeps connections to replicas, [`replica_link`] runs one and tells what stands on it behind an answer, [`carried_ids`] holds what they have carried, [`replica_stream`]
//! bounds what is read from them, and [`probes`] opens some to check the paths. [`forward`] marks requests that go through another box, and `admission_wire` encodes what admitted them.
//!
//! [`follow`] follows the topics of the platform's store. `topic_follower` calls the store for one
//! topic, and `store_calls` holds its open calls. [`verdicts`] and [`checkpoints`] read and write
//! the state of trials, [`poison_records`] what crashes replicas. [`leader`] holds the lease of the leader and executes its orders.
//!
//! [`gossip`] exchanges datagrams with other boxes, [`gossip_wire`] encodes them, [`sync_pacer`]
//! limits the bandwidth of sync responses, and [`operator_records`] holds the operator's records
//! for boxes that lack them. [`control_stats`] counts the cost of store calls and datagrams.
//!
//! [`directory`] answers requests for addresses, readiness, state and metrics, which `endpoints` serves. [`observe`] writes logs and
//! metrics, and `unknown_headers` logs headers of replicas that the box does not know. [`reload`]
//! applies changed settings. [`process`] puts everything together, and [`task_watch`] keeps its tasks
//! running.

mod admission_wire;
pub mod attempts;
pub mod carried_ids;
pub mod checkpoints;
pub mod control_stats;
pub mod directory;
pub mod driver;
mod endpoints;
pub mod entry;
pub mod event_splitter;
pub mod exchange;
pub mod follow;
pub mod forward;
pub mod gossip;
pub mod gossip_wire;
pub mod leader;
pub mod observe;
pub mod operator_records;
mod order_reader;
pub mod poison_records;
pub mod pool;
pub mod probes;
pub mod process;
pub mod relay;
pub mod reload;
pub mod replica_call;
pub mod replica_link;
pub mod replica_stream;
pub mod responses;
mod store_calls;
pub mod stream_reader;
pub mod sync_pacer;
pub mod task_watch;
mod topic_follower;
mod unknown_headers;
pub mod verdicts;

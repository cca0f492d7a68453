//! Demand of client accounts in gossip messages.

use prost::Message;
use ravenspoke_core::route::scheduling::account_demand::{AccountDemand, ShareUpdate};
use ravenspoke_core::route::shares::SHARES_PER_MESSAGE;

/// Demand for one service in contention. The rows of an account have the same place in both lists.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireShare {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(uint64, tag = "2")]
    late_age_ms: u64,
    #[prost(float, tag = "3")]
    begun: f32,
    #[prost(fixed64, repeated, tag = "4")]
    accounts: Vec<u64>,
    #[prost(float, repeated, tag = "5")]
    works: Vec<f32>,
    #[prost(float, tag = "6")]
    other_work: f32,
    #[prost(uint32, tag = "7")]
    other_accounts: u32,
}

pub(super) fn write_share(update: &ShareUpdate) -> WireShare {
    WireShare {
        service: update.service.clone(),
        late_age_ms: update.late_age_ms,
        begun: update.begun as f32,
        accounts: update.accounts.iter().map(|row| row.account).collect(),
        works: update.accounts.iter().map(|row| row.work as f32).collect(),
        other_work: update.other_work as f32,
        other_accounts: update.other_accounts,
    }
}

/// Returns the updates of a message that may be used; none if there are more than boxes send.
pub(super) fn read_shares(wire: Vec<WireShare>) -> Vec<ShareUpdate> {
    if wire.len() > SHARES_PER_MESSAGE {
        return Vec::new();
    }
    wire.into_iter().filter_map(read_share).collect()
}

fn read_share(wire: WireShare) -> Option<ShareUpdate> {
    if wire.accounts.len() != wire.works.len() {
        return None;
    }
    let rows = wire.accounts.into_iter().zip(wire.works);
    let accounts = rows.map(|(account, work)| AccountDemand { account, work: f64::from(work) });
    let update = ShareUpdate {
        service: wire.service,
        late_age_ms: wire.late_age_ms,
        begun: f64::from(wire.begun),
        accounts: accounts.collect(),
        other_work: f64::from(wire.other_work),
        other_accounts: wire.other_accounts,
    };
    update.is_valid().then_some(update)
}

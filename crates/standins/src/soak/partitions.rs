//! Checks that callers of a box without paths to replicas are served.

use std::net::IpAddr;

use super::judge::{BrokenGuarantee, RECONNECT_LIMIT, SLACK};
use super::proxy::ProxyFault;
use super::recorder::{AskEnd, AskRecord, InjectedFault};
use super::schedule::SoakFault;

/// Requests that may fail there: some, and a share of all requests. The platform's bounds.
const FAILED_ALLOWED: (f64, f64) = (10.0, 0.02);

/// Least share of requests served there, as a multiple of that at the other boxes. The platform's
/// bound.
const SERVED_SHARE: f64 = 2.0 / 3.0;

/// Requests that were sent and served.
#[derive(Clone, Copy, Default)]
struct ServedCount {
    sent: usize,
    served: usize,
}

impl ServedCount {
    fn of<'a>(asks: impl Iterator<Item = &'a AskRecord>) -> Self {
        let served = |ask: &AskRecord| matches!(ask.end, AskEnd::Answered { status: 200, .. });
        asks.fold(Self::default(), |count, ask| Self {
            sent: count.sent + 1,
            served: count.served + usize::from(served(ask)),
        })
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Checks each loss of a box's paths to replicas.
pub(super) fn check_partitions(
    boxes: &[IpAddr],
    asks: &[AskRecord],
    faults: &[InjectedFault],
) -> Vec<BrokenGuarantee> {
    faults.iter().filter_map(|fault| check_partition(boxes, asks, faults, fault)).collect()
}

fn check_partition(
    boxes: &[IpAddr],
    asks: &[AskRecord],
    faults: &[InjectedFault],
    fault: &InjectedFault,
) -> Option<BrokenGuarantee> {
    // The proxies accept connections that they do not forward, which a lost path does not.
    let SoakFault::BoxPaths(number, ProxyFault::Reset | ProxyFault::Refused) = fault.fault else {
        return None;
    };
    let from = fault.from + RECONNECT_LIMIT + SLACK;
    let clear = |ask: &&AskRecord| {
        let others = faults.iter().filter(|other| other.fault != fault.fault);
        let disturbs =
            |other: &InjectedFault| other.overlaps(ask.sent_at, ask.ended_at, RECONNECT_LIMIT);
        !others.clone().any(disturbs)
    };
    let within = |ask: &&AskRecord| ask.sent_at >= from && ask.ended_at <= fault.until;
    let rows = || asks.iter().filter(within).filter(clear);
    let here = ServedCount::of(rows().filter(|ask| ask.to == boxes[number]));
    let there = ServedCount::of(rows().filter(|ask| ask.to != boxes[number]));
    let failed = (here.sent - here.served) as f64;
    let allowed = FAILED_ALLOWED.0 + FAILED_ALLOWED.1 * (here.sent + there.sent) as f64;
    let seldom = here.share() < SERVED_SHARE * there.share();
    (seldom && failed > allowed).then(|| {
        format!(
            "a box without paths served {} of {} requests, the others {} of {}",
            here.served, here.sent, there.served, there.sent
        )
    })
}

//! Drawn sequences of replica entries: requests go only to replicas whose present entry names their
//! service, and are refused if there is none.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::plan::RouteTarget;

use crate::fixture::{ask, at, entry, new_box, order_in, plan, TestBox};

/// Ids that entries are written under.
const IDS: [&str; 3] = ["a", "b", "c"];

/// Services that entries name. No route leads to the last one.
const SERVICES: [&str; 3] = ["pool", "other", "annex"];

/// Time of a step, in milliseconds.
const STEP_MS: u64 = 400;

/// A record in the topic of the entries, or the passage of time.
#[derive(Clone, Debug)]
enum EntryRecord {
    Written { service: &'static str, version: &'static str, born: Option<u64>, leaving: bool },
    Removed,
    Unreadable,
    TimePasses,
}

fn entry_record() -> impl Strategy<Value = EntryRecord> {
    let written = (
        prop::sample::select(&SERVICES[..]),
        prop::sample::select(&["v1", "v2"][..]),
        prop::option::of(1..4_u64),
        prop::bool::weighted(0.1),
    );
    let written = written.prop_map(|(service, version, born, leaving)| EntryRecord::Written {
        service,
        version,
        born,
        leaving,
    });
    prop_oneof![
        6 => written,
        1 => Just(EntryRecord::Removed),
        1 => Just(EntryRecord::Unreadable),
        1 => Just(EntryRecord::TimePasses),
    ]
}

/// A box whose routes `read` and `file` lead to different services.
fn box_with_two_services() -> TestBox {
    let mut subject = new_box("box-1");
    let mut plan = plan(1);
    plan.routes[1].targets = vec![RouteTarget { service: "other".to_owned(), weight: 1 }];
    subject.read_plan(Some(plan));
    subject
}

impl EntryRecord {
    fn entry(&self, id: &str) -> Option<BackendEntry> {
        let Self::Written { service, version, born, leaving } = self else { return None };
        let service = (*service).to_owned();
        Some(BackendEntry { service, born: *born, leaving: *leaving, ..entry(id, version) })
    }

    /// Delivers the record under an id.
    fn deliver(&self, subject: &mut TestBox, id: &str) {
        subject.offset += 1;
        let change =
            BackendChange { id: id.to_owned(), at: at(subject.offset), entry: self.entry(id) };
        match self {
            Self::TimePasses => subject.now += STEP_MS,
            Self::Unreadable => drop(subject.feed(RouteEvent::BackendsInvalidated(vec![change]))),
            Self::Written { .. } | Self::Removed => {
                subject.feed(RouteEvent::BackendsChanged(vec![change]));
            }
        }
        subject.read_plan(None);
        subject.note_entries_read();
    }
}

proptest! {
    /// Guards against indexes of the replicas that disagree after an entry changed its service.
    #[test]
    fn requests_go_only_to_replicas_of_their_service(
        records in prop::collection::vec((prop::sample::select(&IDS[..]), entry_record()), 1..30)
    ) {
        let mut subject = box_with_two_services();
        let mut present: BTreeMap<&str, BackendEntry> = BTreeMap::new();
        for (id, record) in &records {
            record.deliver(&mut subject, id);
            match (record, record.entry(id)) {
                (EntryRecord::TimePasses, _) => {}
                (_, Some(entry)) => drop(present.insert(id, entry)),
                (_, None) => drop(present.remove(id)),
            }
            for (path, service) in [("/read/x", "pool"), ("/file/x", "other")] {
                let usable: BTreeSet<&str> = present
                    .values()
                    .filter(|entry| entry.service == service)
                    .map(|entry| entry.id.as_str())
                    .collect();
                let (ticket, effects) = subject.arrive(ask(path));
                if let Some(order) = order_in(&effects) {
                    prop_assert!(usable.contains(order.replica_id.as_str()), "{path}: {order:?}");
                }
                subject.feed(RouteEvent::CallerDisconnected(ticket));
            }
            let known: BTreeSet<&str> = present.keys().copied().collect();
            let rows = subject.state.backends().rows().map(|(_, row)| row.entry.id.clone());
            let rows: BTreeSet<String> = rows.collect();
            prop_assert!(rows.iter().map(String::as_str).eq(known));
        }
    }
}

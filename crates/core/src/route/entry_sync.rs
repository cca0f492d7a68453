//! How far a box knows the replicas' entries in the store, and how it responds to other boxes about
//! them.
//!
//! A few boxes read the entries. The others send them sync requests that state the position up to
//! which they know everything. A response holds the differences, each change once and in the order
//! of the store, so that one response makes a box complete whatever datagrams were lost before, and
//! its size depends on the number of changes, not of replicas. A box that knows nothing yet, or is
//! behind the oldest tombstone of the responding box, gets a listing in pages.

use super::backend::{BackendChange, BackendTable};
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// Upper bound of the changes in a datagram. A packed change takes some 20 bytes, in a datagram of
/// at most 60,000 that may also hold a plan of a thousand routes.
pub const CHANGES_PER_MESSAGE: usize = 1_000;

/// A listing includes tombstones if there are at most this many. A box that received them can send
/// differences to others, where it would otherwise have to send them all replicas.
pub const TOMBSTONES_PER_MESSAGE: usize = CHANGES_PER_MESSAGE / 2;

/// A listing is in progress for this long after its last page, in milliseconds, which covers a
/// request and its response, lost once and repeated. During this time the box does not also list
/// the replicas in the store.
pub const LISTING_MS: u64 = 500;

/// Properties of a page of a listing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListingPage {
    /// Position up to which the listing shows everything.
    pub end: TopicPosition,
    /// Position at which the next page begins; `None` on the last page.
    pub next: Option<TopicPosition>,
    /// Position from which on the listing includes tombstones.
    pub tombstones_from: TopicPosition,
}

/// What a box requests of the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryQuery {
    /// All changes before this position are known; `None` if nothing is known.
    pub known_to: Option<TopicPosition>,
    /// Where the next page of a listing in progress begins; otherwise the first position.
    pub page_from: TopicPosition,
    /// Whether the box knows replicas that a listing may have to remove.
    pub has_backends: bool,
}

/// Response about the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryAnswer {
    /// The changes.
    pub changes: Vec<BackendChange>,
    /// All changes before this position are known with the response; `None` if the responding box
    /// knew nothing.
    pub known_to: Option<TopicPosition>,
    /// Age of that knowledge, in milliseconds; `None` if there are further changes.
    pub age_ms: Option<u64>,
    /// Properties of the page, if the changes are a page of a listing.
    pub page: Option<ListingPage>,
}

/// A listing of which some pages are missing.
#[derive(Debug)]
struct PartialListing {
    end: TopicPosition,
    tombstones_from: TopicPosition,
    as_of: Option<BoxTime>,
    next: TopicPosition,
    rows: Vec<BackendChange>,
    /// When its last page was received.
    received_at: BoxTime,
}

/// How far the entries are known.
#[derive(Debug, Default)]
pub struct EntryPosition {
    /// All changes before this position are known.
    known_to: Option<TopicPosition>,
    /// Time as of which there were no others.
    as_of: Option<BoxTime>,
    /// Position from which on all removals are known.
    tombstones_from: TopicPosition,
    listing: Option<PartialListing>,
}

impl EntryPosition {
    /// All changes before this position are known; `None` before the first listing.
    pub fn known_to(&self) -> Option<TopicPosition> {
        self.known_to
    }

    /// Age of the knowledge, in milliseconds; `None` before the first listing.
    pub fn age_ms(&self, now: BoxTime) -> Option<u64> {
        self.as_of.map(|at| now.millis_since(at))
    }

    /// Whether pages of a listing are being received.
    pub fn is_listing(&self, now: BoxTime) -> bool {
        let listing = self.listing.as_ref();
        listing.is_some_and(|listing| now.millis_since(listing.received_at) < LISTING_MS)
    }

    /// Records a listing of all entries before `end`.
    pub fn record_listing(&mut self, end: TopicPosition) {
        self.known_to = Some(end);
        self.tombstones_from = end;
        self.listing = None;
    }

    /// Records a listing that also shows all removals from a position on.
    fn record_received_listing(&mut self, end: TopicPosition, tombstones_from: TopicPosition) {
        self.record_listing(end);
        self.tombstones_from = tombstones_from.min(end);
    }

    /// Records that all changes before `to` are known, and that there were no others at `as_of`.
    pub fn record_read(&mut self, to: TopicPosition, as_of: Option<BoxTime>) {
        self.known_to = self.known_to.max(Some(to));
        if self.known_to == Some(to) {
            self.as_of = self.as_of.max(as_of);
        }
    }

    /// What this box requests of the entries.
    pub fn query(&self, has_backends: bool) -> EntryQuery {
        let page_from = self.listing.as_ref().map(|listing| listing.next).unwrap_or_default();
        EntryQuery { known_to: self.known_to, page_from, has_backends }
    }

    /// The response to a query.
    pub fn answer(&self, query: EntryQuery, table: &BackendTable, now: BoxTime) -> EntryAnswer {
        let Some(known_to) = self.known_to else { return EntryAnswer::default() };
        // A replica in its grace period is neither sent nor skipped.
        let first_expiring = table.first_expiring();
        let settled_to = first_expiring.map_or(known_to, |at| at.min(known_to));
        let tombstones_from = self.tombstones_from.max(table.tombstones_from());
        let is_listing_page = query.known_to.is_none_or(|to| to < tombstones_from);
        if is_listing_page && first_expiring.is_some() && query.has_backends {
            return EntryAnswer::default();
        }
        let from =
            if is_listing_page { query.page_from } else { query.known_to.unwrap_or_default() };
        let with_tombstones = !is_listing_page || table.tombstone_count() <= TOMBSTONES_PER_MESSAGE;
        let mut changes = table.changes_from(from, with_tombstones, CHANGES_PER_MESSAGE + 1);
        let more = changes.len() > CHANGES_PER_MESSAGE;
        let sent_count =
            if more && !is_listing_page { aligned_count(&changes) } else { CHANGES_PER_MESSAGE };
        let next = changes.get(sent_count).map(|change| change.at);
        changes.truncate(sent_count);
        let all = !more && settled_to == known_to;
        let age_ms = self.age_ms(now).filter(|_| all || is_listing_page);
        let sent_to = next.map_or(settled_to, |at| at.min(settled_to));
        let tombstones_from = if with_tombstones { tombstones_from } else { settled_to };
        let page =
            is_listing_page.then_some(ListingPage { end: settled_to, next, tombstones_from });
        let known_to = if is_listing_page { settled_to } else { sent_to };
        EntryAnswer { changes, known_to: Some(known_to), age_ms, page }
    }

    /// Applies the changes that another box sent in response to a query. They leave no gap only if
    /// the query stated no more than is known now.
    pub fn apply_changes(
        &mut self,
        query: EntryQuery,
        sent_to: Option<TopicPosition>,
        as_of: Option<BoxTime>,
    ) {
        let (Some(to), Some(asked), Some(known)) = (sent_to, query.known_to, self.known_to) else {
            return;
        };
        if asked > known {
            return;
        }
        if to >= known {
            self.record_read(to, as_of);
        } else if to.era == known.era {
            // The other box knows less, and at that time there was nothing that this box does not
            // know.
            self.as_of = self.as_of.max(as_of);
        }
    }

    /// Applies a page of a listing. Returns the complete listing and its end once the last page has
    /// arrived.
    pub fn apply_page(
        &mut self,
        query: EntryQuery,
        page: ListingPage,
        changes: &[BackendChange],
        as_of: Option<BoxTime>,
        now: BoxTime,
    ) -> Option<(TopicPosition, Vec<BackendChange>)> {
        if self.known_to.is_some_and(|to| to > page.end) {
            return None;
        }
        let first = TopicPosition::default();
        if query.page_from == first {
            let (end, rows) = (page.end, Vec::new());
            let tombstones_from = page.tombstones_from;
            self.listing = Some(PartialListing {
                end,
                tombstones_from,
                as_of,
                next: first,
                rows,
                received_at: now,
            });
        }
        let listing = self.listing.as_mut()?;
        if listing.next != query.page_from || page.end < listing.end {
            return None;
        }
        listing.rows.extend(changes.iter().cloned());
        listing.received_at = now;
        // Pages may come from different boxes.
        listing.tombstones_from = listing.tombstones_from.max(page.tombstones_from);
        if let Some(next) = page.next {
            listing.next = next;
            return None;
        }
        let listing = self.listing.take()?;
        self.record_received_listing(listing.end, listing.tombstones_from);
        self.record_read(listing.end, listing.as_of);
        Some((listing.end, listing.rows))
    }
}

/// Number of changes to send if there are more than a response holds: up to a position that is the
/// same for all requests, so that the following changes are packed once for all of them.
fn aligned_count(changes: &[BackendChange]) -> usize {
    let window =
        |change: &BackendChange| (change.at.era, change.at.offset / CHANGES_PER_MESSAGE as u64);
    let Some(first) = changes.first().map(window) else { return 0 };
    changes.iter().take(CHANGES_PER_MESSAGE).take_while(|change| window(change) == first).count()
}

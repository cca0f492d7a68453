//! How far a box knows the replicas' entries in the store, and what it tells a box that asks.
//!
//! Few boxes read the entries; the others ask them, each naming the position up to which it knows all. The
//! answer holds what differs, each change once and in the order of the store, so that a box is complete
//! after one answer, whatever datagrams were lost before, and bytes follow the changes, not the number of
//! replicas. A box that knows nothing yet, or less than the other remembers of replicas that are gone, gets
//! a listing in pages.

use super::backend::{BackendChange, BackendTable};
use crate::position::TopicPosition;
use crate::time::BoxTime;

/// Changes in one datagram, at most: packed some 20 bytes each, in a datagram of at most 60,000 that may hold a plan
/// of a thousand routes beside them.
pub const CHANGES_PER_MESSAGE: usize = 1_000;

/// A listing shows which replicas are gone as well, if these are at most so many: who was told it can then tell others what
/// they lack, where it would else have to tell them all replicas.
pub const TOMBSTONES_PER_MESSAGE: usize = CHANGES_PER_MESSAGE / 2;

/// A listing is under way for this long after a page of it, in milliseconds: an ask and its answer, once lost and
/// repeated. Meanwhile the store is not asked for all replicas as well.
pub const LISTING_MS: u64 = 500;

/// A page of a listing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListingPage {
    /// Position up to which the listing shows all.
    pub end: TopicPosition,
    /// Position from which the next page goes on; `None` on the last.
    pub next: Option<TopicPosition>,
    /// From this position on it shows which replicas are gone as well.
    pub tombstones_from: TopicPosition,
}

/// What a box wants to know of the entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryQuery {
    /// All changes before this position are known; `None` if nothing is.
    pub known_to: Option<TopicPosition>,
    /// Where the next page of a listing begins, if one is under way; else before all.
    pub page_from: TopicPosition,
    /// Whether replicas are known that a listing may have to remove.
    pub has_backends: bool,
}

/// What a box tells of the entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryAnswer {
    /// The changes.
    pub changes: Vec<BackendChange>,
    /// All changes before this position are known with them; `None` if nothing was known.
    pub known_to: Option<TopicPosition>,
    /// How long ago that was all there was, in milliseconds; `None` if it wasn't.
    pub age_ms: Option<u64>,
    /// The page of a listing, if the changes are one.
    pub page: Option<ListingPage>,
}

/// A listing of which not all pages have come.
#[derive(Debug)]
struct PartialListing {
    end: TopicPosition,
    tombstones_from: TopicPosition,
    as_of: Option<BoxTime>,
    next: TopicPosition,
    rows: Vec<BackendChange>,
    /// When its last page came.
    received_at: BoxTime,
}

/// How far the entries are known.
#[derive(Debug, Default)]
pub struct EntryPosition {
    /// All changes before this position are known.
    known_to: Option<TopicPosition>,
    /// As of when that was all there was.
    as_of: Option<BoxTime>,
    /// From here on it is known which replicas are gone.
    tombstones_from: TopicPosition,
    listing: Option<PartialListing>,
}

impl EntryPosition {
    /// All changes before this position are known; `None` before the first listing.
    pub fn known_to(&self) -> Option<TopicPosition> {
        self.known_to
    }

    /// Age of what is known, in milliseconds; `None` before the first listing.
    pub fn age_ms(&self, now: BoxTime) -> Option<u64> {
        self.as_of.map(|at| now.millis_since(at))
    }

    /// Whether the pages of a listing come in.
    pub fn is_listing(&self, now: BoxTime) -> bool {
        let listing = self.listing.as_ref();
        listing.is_some_and(|listing| now.millis_since(listing.received_at) < LISTING_MS)
    }

    /// Notes a listing of all entries before `end`.
    pub fn record_listing(&mut self, end: TopicPosition) {
        self.known_to = Some(end);
        self.tombstones_from = end;
        self.listing = None;
    }

    /// Notes one that shows as well which replicas are gone from a position on.
    fn record_received_listing(&mut self, end: TopicPosition, tombstones_from: TopicPosition) {
        self.record_listing(end);
        self.tombstones_from = tombstones_from.min(end);
    }

    /// Notes that all changes before `to` are known, and that there were no others at `as_of`.
    pub fn record_read(&mut self, to: TopicPosition, as_of: Option<BoxTime>) {
        self.known_to = self.known_to.max(Some(to));
        if self.known_to == Some(to) {
            self.as_of = self.as_of.max(as_of);
        }
    }

    /// What this box wants to know.
    pub fn query(&self, has_backends: bool) -> EntryQuery {
        let page_from = self.listing.as_ref().map(|listing| listing.next).unwrap_or_default();
        EntryQuery { known_to: self.known_to, page_from, has_backends }
    }

    /// What is told to a box with this query.
    pub fn answer(&self, query: EntryQuery, table: &BackendTable, now: BoxTime) -> EntryAnswer {
        let Some(known_to) = self.known_to else { return EntryAnswer::default() };
        // A replica that may come back is neither told nor passed over.
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

    /// Takes what another box told of changes, in answer to a query. Nothing is left out only if that query
    /// named no more than is known now.
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
            // The other knows less, and nothing was there then that this box does not know.
            self.as_of = self.as_of.max(as_of);
        }
    }

    /// Takes a page of a listing. Gives the is_listing_page of it, with its end, when the last one has come.
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

/// How many of more changes than an answer holds are told in one: up to a position that is the same for all who ask, so that
/// what follows is packed once for them.
fn aligned_count(changes: &[BackendChange]) -> usize {
    let window =
        |change: &BackendChange| (change.at.era, change.at.offset / CHANGES_PER_MESSAGE as u64);
    let Some(first) = changes.first().map(window) else { return 0 };
    changes.iter().take(CHANGES_PER_MESSAGE).take_while(|change| window(change) == first).count()
}

//! What this box tells the others, and what it takes from them: news of replicas, trials, and how fresh
//! its knowledge is.

use super::backend::{BackendChange, BackendNews};
use super::event::RouteEffect;
use super::pace::ServicePace;
use super::peers::{self, PeerAsk, PeerNote, TrialNote, REPLICAS_TOLD};
use super::RouteState;
use crate::event::EventStamp;
use crate::time::BoxTime;

/// News of a replica is told to other boxes for this long, in milliseconds: three notes. Who hears it
/// tells it on.
pub const TELL_MS: u64 = 1_500;

/// News of replicas in one note, at most, the newest first; what a box misses it reads itself later.
pub const NEWS_LIMIT: usize = 40;

impl RouteState {
    /// Tells news of a replica to other boxes, at once and for a while.
    pub(super) fn tell(
        &mut self,
        stamp: EventStamp,
        change: BackendChange,
        news: BackendNews,
        out: &mut Vec<RouteEffect>,
    ) {
        if news == BackendNews::None {
            return;
        }
        if news == BackendNews::Leaving {
            out.push(RouteEffect::BackendLeaving(change.id.clone()));
        }
        self.changes.retain(|(_, other)| other.id != change.id);
        self.changes.push_back((stamp.now, change));
        self.next_note = BoxTime::default();
    }

    /// Sends a round of notes, if it is time for one.
    pub(super) fn send_notes(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        if stamp.now < self.next_note {
            return;
        }
        self.next_note = stamp.now.plus_millis(peers::NOTE_EVERY_MS);
        self.peers.forget(stamp.now);
        let told = |at: BoxTime| stamp.now.millis_since(at) < TELL_MS;
        self.changes.retain(|(at, _)| told(*at));
        let targets = self.peers.note_targets(stamp.dice);
        if !targets.is_empty() {
            out.push(RouteEffect::SendNotes(targets, Box::new(self.note(stamp))));
        }
    }

    fn note(&mut self, stamp: EventStamp) -> PeerNote {
        self.note_number += 1;
        let trials = self.trials.values().map(|trial| TrialNote {
            service: trial.order.service.clone(),
            version: trial.order.version.clone(),
            progress: trial.progress(stamp.now),
            marked: trial.marked,
            tallies: trial.own.clone(),
        });
        PeerNote {
            name: self.settings.name.clone(),
            incarnation: self.settings.incarnation,
            number: self.note_number,
            note_address: self.settings.note_address.clone(),
            entry_address: self.settings.entry_address.clone(),
            zone: self.settings.zone.clone(),
            open: self.open(stamp.now),
            read_to: self.read_to,
            read_age_ms: self.fresh.age_ms(stamp.now),
            echo: None,
            changes: self.changes.iter().rev().take(NEWS_LIMIT).map(|row| row.1.clone()).collect(),
            loads: self.backends.loads_to_tell(stamp.now),
            trials: trials.collect(),
            verdicts: self.verdicts(),
            others: self.peers.some_addresses(stamp.dice),
        }
    }

    /// Asks a reader how fresh this box's knowledge is, unless it reads often itself.
    pub(super) fn ask_reader(&mut self, stamp: EventStamp, out: &mut Vec<RouteEffect>) {
        if stamp.now < self.next_ask {
            return;
        }
        self.next_ask = stamp.now.plus_millis(peers::ASK_EVERY_MS);
        let (own, readers) = self.peers.readers(&self.settings.name, stamp.now);
        // A box that was started while the store is away knows no replica, reader or not.
        if (own && self.knows_replicas()) || readers.is_empty() {
            return;
        }
        let reader = readers[(stamp.dice % readers.len() as u64) as usize].clone();
        out.push(RouteEffect::SendAsk(reader, self.ask(stamp)));
    }

    fn ask(&self, stamp: EventStamp) -> PeerAsk {
        PeerAsk {
            note_address: self.settings.note_address.clone(),
            incarnation: self.settings.incarnation,
            asked_at: stamp.now,
            read_to: self.read_to,
            wants_replicas: !self.knows_replicas(),
        }
    }

    /// Answers another box's ask.
    pub(super) fn on_ask(&mut self, stamp: EventStamp, ask: PeerAsk, out: &mut Vec<RouteEffect>) {
        let to = vec![ask.note_address.clone()];
        let mut note = self.note(stamp);
        if ask.wants_replicas {
            note.changes = self.backends.all_changes();
            note.changes.truncate(REPLICAS_TOLD);
        }
        note.echo = Some(ask);
        out.push(RouteEffect::SendNotes(to, Box::new(note)));
    }

    pub(super) fn on_note(
        &mut self,
        stamp: EventStamp,
        note: &PeerNote,
        out: &mut Vec<RouteEffect>,
    ) {
        if note.name == self.settings.name || !self.peers.hear(note, stamp.now) {
            return;
        }
        self.peers.hear_of(&note.others, &self.settings.note_address, stamp.now);
        if note.echo.as_ref().is_some_and(|ask| ask.wants_replicas) {
            // What this box asked for is no news to the others.
            for change in &note.changes {
                self.backends.take(change, stamp.now, None);
            }
        } else {
            // Only what is gone for good is told: that this box lost the store says nothing against it, and a
            // replica must get nothing two seconds after the store's word.
            self.take_backends(stamp, note.changes.clone(), None, out);
        }
        let paces = &self.paces;
        let mean_ms = |service: &str| paces.get(service).map_or(0.0, ServicePace::mean_ms);
        for told in &note.loads {
            self.backends.hear_load(told, &mean_ms, stamp.now);
        }
        self.hear_trials(stamp, note, out);
        self.hear_freshness(stamp, note, out);
    }

    /// Relies on what another box read, as of when it says, if this box has read as far.
    fn hear_freshness(&mut self, stamp: EventStamp, note: &PeerNote, out: &mut Vec<RouteEffect>) {
        if note.read_to > self.read_to {
            self.behind_since.get_or_insert(stamp.now);
            if stamp.now >= self.next_behind_ask {
                self.next_behind_ask = stamp.now.plus_millis(peers::ASK_AGAIN_MS);
                out.push(RouteEffect::SendAsk(note.note_address.clone(), self.ask(stamp)));
            }
            return;
        }
        let as_of = self.word_as_of(note, stamp.now);
        if let Some(as_of) = as_of.filter(|_| note.read_to == self.read_to && self.has_plan()) {
            self.fresh.renew(as_of);
        }
    }

    /// As of when, on this box's clock, another one knew what its note says; `None` if the note
    /// answers no ask of this life of the process, or one that is too old.
    pub fn word_as_of(&self, note: &PeerNote, now: BoxTime) -> Option<BoxTime> {
        let (ask, age_ms) = (note.echo.as_ref()?, note.read_age_ms?);
        let own = ask.incarnation == self.settings.incarnation && ask.asked_at <= now;
        let early = now.millis_since(ask.asked_at) < peers::ECHO_LIMIT_MS;
        (own && early).then(|| ask.asked_at.minus_millis(age_ms))
    }
}

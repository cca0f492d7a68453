//! The fold of the `bundles` stream, which gives the bundle in force, the same on every box.
//!
//! Each record is checked against the bundle in force *at its offset*: it must have the next
//! sequence, name the digest of the bundle in force as its base, give the digest of the resulting
//! bundle, and have enough sign-offs. If two operators publish at the same time, the first record
//! in log order wins and every box rejects the other.
//!
//! The log is trimmed. A fold that starts after the trimmed part, or lags so far that unread
//! records are trimmed, has missed records and cannot tell which of two competing records won. It
//! is *unanchored* and defers records until it reads one that a box carried forward, which means
//! that the box appended the complete bundle in force again. Such a record states that the bundle
//! is in force up to offset `folded_to`. If nothing after `folded_to` was trimmed, the fold accepts
//! the record and continues with the deferred records from that offset. Without this check the
//! result would be wrong, because a carried record can reach the log late, after a bundle that its
//! writer had not read (`spec/bundle.pml`, mutant `NO_ANCHOR`).

use ed25519_dalek::{Signature, Verifier, VerifyingKey};

use crate::bundle::{bundle_digest, signed_bytes, BundleSpec, SectionMap};
use crate::message::{BundleRecord, BundleSection, SignOff};

/// Base that the first bundle names.
pub const NO_BASE: &str = "none";

/// Operator keys, and the number of them that must sign.
#[derive(Clone, Debug, Default)]
pub struct SignOffRule {
    /// Number of sign-offs needed.
    pub needed: usize,
    /// Public keys by id.
    pub keys: Vec<(String, VerifyingKey)>,
}

impl SignOffRule {
    /// Number of different operators with a valid signature.
    pub fn count(&self, sequence: u64, base: &str, digest: &str, sign_offs: &[SignOff]) -> usize {
        let bytes = signed_bytes(sequence, base, digest);
        let valid = |id: &str, key: &VerifyingKey| {
            sign_offs.iter().any(|sign_off| {
                sign_off.key_id == id
                    && Signature::from_slice(&sign_off.signature)
                        .is_ok_and(|signature| key.verify(&bytes, &signature).is_ok())
            })
        };
        self.keys.iter().filter(|(id, key)| valid(id, key)).count()
    }
}

/// The bundle in force.
#[derive(Clone, Debug)]
pub struct BundleInForce {
    /// Its sequence.
    pub sequence: u64,
    /// Its digest.
    pub digest: String,
    /// Its base.
    pub base: String,
    /// Its sections.
    pub sections: SectionMap,
    /// Its sign-offs.
    pub sign_offs: Vec<SignOff>,
}

impl BundleInForce {
    /// Returns the complete bundle as a record, for a peer.
    pub fn whole_record(&self) -> BundleRecord {
        let section = |(name, json): (&String, &String)| BundleSection {
            name: name.clone(),
            json: json.clone(),
        };
        BundleRecord {
            sequence: self.sequence,
            base: self.base.clone(),
            digest: self.digest.clone(),
            whole: true,
            changed: self.sections.iter().map(section).collect(),
            removed: Vec::new(),
            sign_offs: self.sign_offs.clone(),
            carried: false,
            folded_to: 0,
        }
    }
}

/// Why a record is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FoldRejection {
    /// Another bundle of the same sequence came first.
    #[error("bundle {sequence} lost the race: {winner} came first in the log")]
    LostRace {
        /// Sequence of both.
        sequence: u64,
        /// Digest of the winner.
        winner: String,
    },
    /// The base is not the bundle in force.
    #[error("bundle {sequence} names base {base}, but {in_force} is in force")]
    WrongBase {
        /// Sequence of the record.
        sequence: u64,
        /// Base that it names.
        base: String,
        /// Digest in force.
        in_force: String,
    },
    /// The digest of the resulting bundle differs from the one in the record.
    #[error("bundle {0}: the digest of its sections differs from the stated digest")]
    WrongDigest(u64),
    /// Too few operators signed.
    #[error("bundle {sequence} has {valid} valid sign-offs of {needed} needed")]
    SignOffs {
        /// Sequence of the record.
        sequence: u64,
        /// Valid sign-offs.
        valid: usize,
        /// Sign-offs needed.
        needed: usize,
    },
    /// Earlier records were trimmed, and this one was not carried forward by a box.
    #[error("bundle {0} follows a trimmed part of the log and was not carried forward")]
    Unanchored(u64),
    /// The sections are not a valid bundle.
    #[error("bundle {0} is invalid: {1}")]
    Unreadable(u64, String),
}

/// Result of folding a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FoldOutcome {
    /// The record is now in force.
    Accepted,
    /// The bundle was in force already, or is older than the one in force.
    Repeated,
    /// The record was rejected or deferred.
    Rejected(FoldRejection),
}

/// State of the fold of the `bundles` stream.
#[derive(Debug, Default)]
pub struct BundleFold {
    rule: SignOffRule,
    in_force: Option<BundleInForce>,
    /// Next offset to read.
    next: u64,
    /// Offset after the last trimmed part that this fold missed; set while it is unanchored.
    gap: Option<u64>,
    /// Records read since the gap, with their offsets.
    deferred: Vec<(u64, BundleRecord)>,
}

impl BundleFold {
    /// Creates a fold at offset 0 of an untrimmed stream, with no bundle in force.
    pub fn new(rule: SignOffRule) -> Self {
        Self { rule, ..Self::default() }
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<&BundleInForce> {
        self.in_force.as_ref()
    }

    /// Sequence in force; 0 for none.
    pub fn sequence(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |bundle| bundle.sequence)
    }

    /// Next offset to read.
    pub fn next_offset(&self) -> u64 {
        self.next
    }

    /// Whether the fold can tell which of two competing records won, because it missed no record.
    pub fn anchored(&self) -> bool {
        self.gap.is_none()
    }

    /// Handles that the log was trimmed up to `first` before this fold read it.
    pub fn record_gap(&mut self, first: u64) {
        self.gap = Some(first);
        self.deferred.clear();
        self.next = first;
    }

    /// Returns the record that carries the bundle in force forward; `None` while unanchored.
    pub fn carry_record(&self) -> Option<BundleRecord> {
        let bundle = self.in_force.as_ref().filter(|_| self.anchored())?;
        let record = bundle.whole_record();
        Some(BundleRecord { carried: true, folded_to: self.next, ..record })
    }

    /// Folds the record at `offset`. A record below the next offset was folded before.
    pub fn fold_record(&mut self, offset: u64, record: &BundleRecord) -> FoldOutcome {
        if offset < self.next {
            return FoldOutcome::Repeated;
        }
        self.next = offset + 1;
        match self.gap {
            None => self.fold_anchored(record),
            Some(gap) if record.carried && record.folded_to >= gap => self.anchor(record),
            Some(_) => {
                self.deferred.push((offset, record.clone()));
                FoldOutcome::Rejected(FoldRejection::Unanchored(record.sequence))
            }
        }
    }

    /// Skips a record of another kind at `offset`.
    pub fn skip_record(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    fn fold_anchored(&mut self, record: &BundleRecord) -> FoldOutcome {
        if record.sequence <= self.sequence() {
            return self.repeated_or_lost(record);
        }
        if record.carried {
            return self.accept(record);
        }
        match self.check_base(record) {
            Ok(()) => self.accept(record),
            Err(rejection) => FoldOutcome::Rejected(rejection),
        }
    }

    /// Accepts a carried record after which nothing was trimmed, and folds the deferred records
    /// that it does not cover.
    fn anchor(&mut self, carried: &BundleRecord) -> FoldOutcome {
        let before = self.sequence();
        if carried.sequence > before {
            if let FoldOutcome::Rejected(rejection) = self.accept(carried) {
                return FoldOutcome::Rejected(rejection);
            }
        }
        self.gap = None;
        for (offset, record) in std::mem::take(&mut self.deferred) {
            if offset >= carried.folded_to {
                self.fold_anchored(&record);
            }
        }
        if self.sequence() > before {
            return FoldOutcome::Accepted;
        }
        FoldOutcome::Repeated
    }

    /// Applies a bundle that a peer has in force. The sequence never decreases.
    pub fn adopt_record(&mut self, record: &BundleRecord) -> FoldOutcome {
        if record.sequence <= self.sequence() {
            return self.repeated_or_lost(record);
        }
        if record.whole {
            return self.accept(record);
        }
        match self.check_base(record) {
            Ok(()) => self.accept(record),
            Err(rejection) => FoldOutcome::Rejected(rejection),
        }
    }

    /// Outcome of a record whose sequence is not higher than the one in force.
    fn repeated_or_lost(&self, record: &BundleRecord) -> FoldOutcome {
        match &self.in_force {
            Some(bundle)
                if bundle.sequence == record.sequence && bundle.digest != record.digest =>
            {
                FoldOutcome::Rejected(FoldRejection::LostRace {
                    sequence: record.sequence,
                    winner: bundle.digest.clone(),
                })
            }
            _ => FoldOutcome::Repeated,
        }
    }

    fn check_base(&self, record: &BundleRecord) -> Result<(), FoldRejection> {
        let in_force = self.in_force.as_ref().map_or(NO_BASE, |bundle| &bundle.digest);
        if record.sequence == self.sequence() + 1 && record.base == in_force {
            return Ok(());
        }
        Err(FoldRejection::WrongBase {
            sequence: record.sequence,
            base: record.base.clone(),
            in_force: in_force.to_owned(),
        })
    }

    fn accept(&mut self, record: &BundleRecord) -> FoldOutcome {
        match self.check_record(record) {
            Ok(bundle) => {
                self.in_force = Some(bundle);
                FoldOutcome::Accepted
            }
            Err(rejection) => FoldOutcome::Rejected(rejection),
        }
    }

    /// Builds the bundle that `record` results in, and checks its digest, sign-offs and content.
    fn check_record(&self, record: &BundleRecord) -> Result<BundleInForce, FoldRejection> {
        let sequence = record.sequence;
        let mut sections = match &self.in_force {
            Some(bundle) if !record.whole => bundle.sections.clone(),
            _ => SectionMap::new(),
        };
        for section in &record.changed {
            sections.insert(section.name.clone(), section.json.clone());
        }
        for name in &record.removed {
            sections.remove(name);
        }
        if bundle_digest(&sections) != record.digest {
            return Err(FoldRejection::WrongDigest(sequence));
        }
        let needed = self.rule.needed;
        let valid = self.rule.count(sequence, &record.base, &record.digest, &record.sign_offs);
        if valid < needed {
            return Err(FoldRejection::SignOffs { sequence, valid, needed });
        }
        BundleSpec::from_sections(&sections)
            .map_err(|error| FoldRejection::Unreadable(sequence, error))?;
        Ok(BundleInForce {
            sequence,
            digest: record.digest.clone(),
            base: record.base.clone(),
            sections,
            sign_offs: record.sign_offs.clone(),
        })
    }
}

/// Returns the record that turns `base` into `sections`. It holds only the changes, or the complete
/// bundle if there is no base.
pub fn change_record(
    base: Option<&BundleInForce>,
    sections: &SectionMap,
    sign_offs: Vec<SignOff>,
) -> BundleRecord {
    let empty = SectionMap::new();
    let before = base.map_or(&empty, |bundle| &bundle.sections);
    let changed = sections.iter().filter(|(name, json)| before.get(*name) != Some(*json));
    let removed = before.keys().filter(|name| !sections.contains_key(*name));
    BundleRecord {
        sequence: base.map_or(1, |bundle| bundle.sequence + 1),
        base: base.map_or(NO_BASE.to_owned(), |bundle| bundle.digest.clone()),
        digest: bundle_digest(sections),
        whole: base.is_none(),
        changed: changed
            .map(|(name, json)| BundleSection { name: name.clone(), json: json.clone() })
            .collect(),
        removed: removed.cloned().collect(),
        sign_offs,
        carried: false,
        folded_to: 0,
    }
}

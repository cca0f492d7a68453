//! Max-min fairness: how much of a capacity each account gets if the largest demands are cut first.
//!
//! Load pattern: one account sends several times its usual load, and the others send what they
//! always do. Every account gets what it asks for up to one common level, so that only the large
//! demands are cut, and what the small ones leave goes to the large ones.

/// Demand of accounts that ask for the same amount.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DemandRow {
    /// Demand of each of the accounts, in any unit of work.
    pub work: f64,
    /// Number of accounts.
    pub accounts: f64,
}

impl DemandRow {
    /// A row for one account.
    pub fn single(work: f64) -> Self {
        Self { work, accounts: 1.0 }
    }
}

/// Returns the level up to which demands are met such that they take up `capacity`, in the unit of
/// the demands; `None` if the capacity suffices for all of them.
pub fn max_min_level(mut rows: Vec<DemandRow>, capacity: f64) -> Option<f64> {
    rows.sort_by(|a, b| a.work.total_cmp(&b.work));
    let mut accounts: f64 = rows.iter().map(|row| row.accounts).sum();
    let mut left = capacity.max(0.0);
    for row in rows {
        if row.work * accounts > left {
            return Some(left / accounts);
        }
        left -= row.work * row.accounts;
        accounts -= row.accounts;
    }
    None
}

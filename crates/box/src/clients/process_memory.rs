//! Memory and descriptors that a process may use if its settings do not tell.

/// Memory of a process without a setting, in bytes, where the machine has enough.
pub const DEFAULT_BYTES: usize = 512 << 20;

/// Part of the machine's memory that a process without a setting may use, as a divisor.
const MACHINE_DIVISOR: usize = 2;

/// File in which Linux tells the machine's memory.
const MEMORY_FILE: &str = "/proc/meminfo";

/// Memory that a process may use, in bytes: as set, else [`DEFAULT_BYTES`] or half of the machine's
/// memory, whichever is less.
pub fn process_memory(set_bytes: usize) -> usize {
    if set_bytes > 0 {
        return set_bytes;
    }
    let machine = std::fs::read_to_string(MEMORY_FILE).ok().and_then(|text| total_bytes(&text));
    machine.map_or(DEFAULT_BYTES, |bytes| (bytes / MACHINE_DIVISOR).min(DEFAULT_BYTES))
}

/// Total memory in the text of [`MEMORY_FILE`], in bytes.
fn total_bytes(text: &str) -> Option<usize> {
    let row = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let kilobytes: usize = row.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kilobytes << 10)
}

/// File in which Linux tells the limits of this process.
const LIMITS_FILE: &str = "/proc/self/limits";

/// Descriptors of a process whose limit can't be read: the usual limit.
const DEFAULT_DESCRIPTORS: usize = 1_024;

/// Descriptors that this process may open.
pub fn process_descriptors() -> usize {
    let text = std::fs::read_to_string(LIMITS_FILE).unwrap_or_default();
    let row = text.lines().find_map(|line| line.strip_prefix("Max open files"));
    let limit = row.and_then(|row| row.split_whitespace().next());
    limit.and_then(|limit| limit.parse().ok()).unwrap_or(DEFAULT_DESCRIPTORS)
}

//! Applies changed settings while the box runs.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_adapter::settings::read_settings;
use tokio::signal::unix::Signal;

use super::driver::GatewayDriver;
use super::observe;

/// Interval at which the settings file is checked, in milliseconds. It may change without a signal.
pub const SETTINGS_POLL_MS: u64 = 3_000;

/// Applies changed bounds of the settings, after a signal or when the file has changed.
pub async fn follow_settings(driver: Arc<GatewayDriver>, file: PathBuf, mut hangup: Signal) {
    let mut last = std::fs::read_to_string(&file).unwrap_or_default();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(Duration::from_millis(SETTINGS_POLL_MS)) => false,
        };
        let text = match std::fs::read_to_string(&file) {
            Ok(text) => text,
            Err(error) => {
                observe::log_reload_failed(&error.to_string());
                continue;
            }
        };
        let changed = text != last;
        if signalled || changed {
            apply_settings(&driver, &file, &text, changed);
        }
        last = text;
    }
}

/// Applies the bounds of valid settings if the file has changed, and logs the result.
fn apply_settings(driver: &GatewayDriver, file: &Path, text: &str, changed: bool) {
    match read_settings(&file.display().to_string(), text) {
        Ok(settings) => {
            if changed {
                driver.state().set_bounds(settings.fresh, settings.budget);
            }
            observe::log_reloaded(changed);
        }
        Err(findings) => observe::log_reload_failed(&findings.lines().join("; ")),
    }
}

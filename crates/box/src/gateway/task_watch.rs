//! Tasks without which a box knows nothing new. None of them ends unnoticed.

use std::any::Any;
use std::future::Future;
use std::panic::PanicHookInfo;
use std::time::Duration;

use super::observe;

/// First pause before an ended task is started again, in milliseconds. It doubles with each further
/// end.
pub const FIRST_RESTART_MS: u64 = 50;

/// Longest pause before an ended task is started again, in milliseconds.
pub const RESTART_LIMIT_MS: u64 = 2_000;

/// Runs a task, and starts it again whenever it ends. Each start calls `make`.
pub async fn keep_running<F>(name: &'static str, make: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let mut pause_ms = FIRST_RESTART_MS;
    loop {
        let ended = tokio::spawn(make()).await;
        if ended.as_ref().is_err_and(|error| error.is_cancelled()) {
            return;
        }
        observe::log_task_ended(name, Some(pause_ms));
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        pause_ms = (pause_ms * 2).min(RESTART_LIMIT_MS);
    }
}

/// Runs a task that can't be started again, and ends the process if it ends, so that the platform
/// starts a new one.
pub async fn exit_with(name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
    let ended = tokio::spawn(task).await;
    if ended.as_ref().is_err_and(|error| error.is_cancelled()) {
        return;
    }
    observe::log_task_ended(name, None);
    std::process::exit(1);
}

/// Logs and counts panics from now on.
pub fn log_panics() {
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic: &PanicHookInfo| {
        let place = panic.location().map_or_else(String::new, ToString::to_string);
        observe::log_panic(&place, panic_text(panic.payload()));
        usual(panic);
    }));
}

fn panic_text(payload: &dyn Any) -> &str {
    let owned = payload.downcast_ref::<String>().map(String::as_str);
    owned.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no text")
}

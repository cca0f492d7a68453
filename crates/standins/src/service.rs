//! Stand-in for a plain service with non-idempotent calls. It counts how often each idempotency key
//! ran.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::serve::{launch, rocket_on, RequestHeaders, RunningServer, StreamedResponse};

/// Faults of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Time between the run and the response, in milliseconds.
    pub slow_ms: u64,
    /// Number of calls that are still to run and have their responses aborted.
    pub cut: u32,
}

#[derive(Default)]
struct ServiceState {
    faults: Mutex<ServiceFaults>,
    run_counts: Mutex<BTreeMap<String, u32>>,
}

#[post("/<path..>", data = "<_body>")]
async fn run(
    path: PathBuf,
    headers: RequestHeaders,
    _body: String,
    state: &State<Arc<ServiceState>>,
) -> StreamedResponse {
    let key = headers.get("idempotency-key").unwrap_or("none").to_owned();
    let times = {
        let mut run_counts = state.run_counts.lock().expect("no panic while locked");
        let count = run_counts.entry(key.clone()).or_default();
        *count += 1;
        *count
    };
    let slow = state.faults.lock().expect("no panic while locked").slow_ms;
    tokio::time::sleep(Duration::from_millis(slow)).await;
    {
        let mut faults = state.faults.lock().expect("no panic while locked");
        if faults.cut > 0 {
            faults.cut -= 1;
            return StreamedResponse::cut();
        }
    }
    let echo = headers.get("x-ravenspoke-attempt").unwrap_or_default();
    let body = json!({ "path": path.display().to_string(), "key": key, "times": times });
    StreamedResponse::whole(200, body.to_string()).header("x-ravenspoke-attempt", echo)
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<ServiceFaults>, state: &State<Arc<ServiceState>>) {
    *state.faults.lock().expect("no panic while locked") = faults.into_inner();
}

#[get("/counts")]
fn counts(state: &State<Arc<ServiceState>>) -> Json<BTreeMap<String, u32>> {
    Json(state.run_counts.lock().expect("no panic while locked").clone())
}

#[get("/load")]
fn load() -> Json<serde_json::Value> {
    Json(json!({ "running": 0, "waiting": 0, "slots": 64 }))
}

/// Starts a plain service.
pub async fn start() -> RunningServer {
    let state = Arc::new(ServiceState::default());
    launch(rocket_on(0).manage(state).mount("/", routes![run, set_faults, counts, load])).await
}

//! Stand-in for the rating service, which rates answers that contain [`BAD_MARK`] as bad.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::serve::{launch, rocket_on, RunningServer};

/// Text in an engine's bad answers.
pub const BAD_MARK: &str = "wrong";

/// Faults of the rating service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RatingFaults {
    /// Respond 503 to every call.
    pub down: bool,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
}

#[derive(Default)]
struct RatingState {
    faults: Mutex<RatingFaults>,
    rating_count: Mutex<u64>,
}

#[post("/v1/rate", data = "<body>")]
async fn rate(body: Json<Value>, state: &State<Arc<RatingState>>) -> Result<Json<Value>, Status> {
    let faults = state.faults.lock().expect("no panic while locked").clone();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.down {
        return Err(Status::ServiceUnavailable);
    }
    *state.rating_count.lock().expect("no panic while locked") += 1;
    let bad = body["answer"].as_str().unwrap_or_default().contains(BAD_MARK);
    Ok(Json(json!({ "good": !bad })))
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<RatingFaults>, state: &State<Arc<RatingState>>) {
    *state.faults.lock().expect("no panic while locked") = faults.into_inner();
}

#[get("/counts")]
fn counts(state: &State<Arc<RatingState>>) -> Json<Value> {
    Json(json!({ "rated": *state.rating_count.lock().expect("no panic while locked") }))
}

/// Starts a rating service.
pub async fn start() -> RunningServer {
    let state = Arc::new(RatingState::default());
    launch(rocket_on(0).manage(state).mount("/", routes![rate, set_faults, counts])).await
}

//! Stand-in for the box list, whose rows can change with a delay.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde::{Deserialize, Serialize};

use crate::serve::{launch, rocket_on, RunningServer};

/// An entry box.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct BoxRow {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub entry: String,
    /// Address for peers.
    pub peer: String,
    /// Address for operators.
    pub operator: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// A replica of a backend server.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaRow {
    /// Name.
    pub name: String,
    /// Address.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Name of its pool or service.
    pub service: String,
    /// Whether it is a model engine.
    pub engine: bool,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Contents of the list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ListRows {
    /// Entry boxes.
    pub boxes: Vec<BoxRow>,
    /// Replicas.
    pub replicas: Vec<ReplicaRow>,
    /// Delay before these rows replace the last ones, in milliseconds.
    pub lag_ms: u64,
}

type SharedRows = Arc<Mutex<ListRows>>;

#[get("/v1/boxes")]
fn read(rows: &State<SharedRows>) -> Json<ListRows> {
    Json(rows.lock().expect("no panic while locked").clone())
}

#[post("/set", data = "<rows>")]
async fn set(rows: Json<ListRows>, shared: &State<SharedRows>) {
    let (rows, shared) = (rows.into_inner(), shared.inner().clone());
    if rows.lag_ms == 0 {
        *shared.lock().expect("no panic while locked") = rows;
        return;
    }
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(rows.lag_ms)).await;
        *shared.lock().expect("no panic while locked") = rows;
    });
}

/// Starts a box list with these rows.
pub async fn start(rows: ListRows) -> RunningServer {
    let shared: SharedRows = Arc::new(Mutex::new(rows));
    launch(rocket_on(0).manage(shared).mount("/", routes![read, set])).await
}

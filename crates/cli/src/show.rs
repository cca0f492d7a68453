//! Commands that show state, decisions and bills from boxes and the log, and the command that stops
//! a box.

use ravenspoke_core::bills::BillFold;
use ravenspoke_core::message::{BillRecord, RecordBody};
use ravenspoke_core::reason::ReasonCode;
use serde_json::{json, Value};

use crate::config::OperatorConfig;
use crate::CommandError;

/// Dumps a box's state.
///
/// # Errors
/// Returns [`CommandError`] if the box is not listed or does not answer.
pub async fn state(config: &OperatorConfig, name: &str) -> Result<Value, CommandError> {
    let address = operator_address(config, name).await?;
    config.ask(&address, "/state").await.ok_or_else(|| {
        CommandError::Unreachable(format!(
            "box {name} does not answer, or the operator key is wrong"
        ))
    })
}

/// Requests a box's planned stop.
///
/// # Errors
/// Returns [`CommandError`] if the box is not listed or does not accept the request.
pub async fn stop(config: &OperatorConfig, name: &str) -> Result<Value, CommandError> {
    let address = operator_address(config, name).await?;
    config.stop(&address).await?;
    Ok(json!({ "stopping": name }))
}

async fn operator_address(config: &OperatorConfig, name: &str) -> Result<String, CommandError> {
    let list = config.boxes().await?;
    let names: Vec<&str> = list.operators.iter().map(|(name, _)| name.as_str()).collect();
    let row = list.operators.iter().find(|(listed, _)| listed == name);
    row.map(|(_, address)| address.clone()).ok_or_else(|| {
        let help = format!("listed boxes: {}", names.join(", "));
        CommandError::failed(format!("the box list has no box {name}"), help)
    })
}

/// Explains the decision on a request, from a box that still holds the decision or else from the
/// request's bill.
///
/// # Errors
/// Returns [`CommandError::Failed`] if neither is found.
pub async fn explain(config: &OperatorConfig, request: &str) -> Result<Value, CommandError> {
    let list = config.boxes().await?;
    for (name, address) in &list.operators {
        if let Some(mut decision) = config.ask(address, &format!("/explain/{request}")).await {
            decision["box"] = json!(name);
            return Ok(decision);
        }
    }
    let bills = read_bills(config).await?;
    let bill = bills.bills.into_iter().find(|bill| bill.request == request);
    bill.map(|bill| bill_json(&bill)).ok_or_else(|| {
        let help =
            "boxes remember their last decisions, and bills last as long as the log keeps them";
        CommandError::failed(format!("nothing is known of request {request}"), help)
    })
}

/// Lists every bill once, and totals by account.
///
/// # Errors
/// Returns [`CommandError::Unreachable`] if the log cannot be read.
pub async fn bills(config: &OperatorConfig) -> Result<Value, CommandError> {
    let fold = read_bills(config).await?;
    let mut totals = std::collections::BTreeMap::<&str, (u64, f64)>::new();
    for bill in &fold.bills {
        let total = totals.entry(&bill.account).or_default();
        total.0 += 1;
        total.1 += bill.cost;
    }
    let total = |(account, (count, cost)): (&&str, &(u64, f64))| json!({ "account": account, "requests": count, "cost": cost });
    Ok(json!({
        "bills": fold.bills.iter().map(bill_json).collect::<Vec<_>>(),
        "repeats_dropped": fold.repeats,
        "totals": totals.iter().map(total).collect::<Vec<_>>(),
    }))
}

async fn read_bills(config: &OperatorConfig) -> Result<BillFold, CommandError> {
    let mut fold = BillFold::default();
    for (_, record) in config.log.read_all("bills").await? {
        if let Some(RecordBody::Bill(bill)) = record.body {
            fold.fold_bill(bill);
        }
    }
    Ok(fold)
}

fn bill_json(bill: &BillRecord) -> Value {
    let reason_json = |number: &u32| {
        let reason = ReasonCode::ALL.iter().find(|reason| **reason as u32 == *number);
        reason.map_or(json!(number), |r| json!({ "code": r.slug(), "words": r.description() }))
    };
    json!({
        "key": bill.key, "account": bill.account, "version": bill.version,
        "request": bill.request, "cost": bill.cost, "tokens": bill.tokens,
        "attempts": bill.attempts, "bundle": bill.bundle,
        "reasons": bill.reasons.iter().map(reason_json).collect::<Vec<_>>(),
    })
}

/// Appends a JSON value to `out` as indented text for human readers.
pub fn as_text(value: &Value, indent: usize, out: &mut String) {
    let pad = "  ".repeat(indent);
    match value {
        Value::Object(rows) => {
            for (name, value) in rows {
                match value {
                    Value::Object(_) | Value::Array(_) => {
                        out.push_str(&format!("{pad}{name}:\n"));
                        as_text(value, indent + 1, out);
                    }
                    other => out.push_str(&format!("{pad}{name}: {}\n", plain(other))),
                }
            }
        }
        Value::Array(rows) => {
            for row in rows {
                match row {
                    Value::Object(_) | Value::Array(_) => {
                        out.push_str(&format!("{pad}-\n"));
                        as_text(row, indent + 1, out);
                    }
                    other => out.push_str(&format!("{pad}- {}\n", plain(other))),
                }
            }
        }
        other => out.push_str(&format!("{pad}{}\n", plain(other))),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

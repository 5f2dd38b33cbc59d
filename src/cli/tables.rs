//! `codes` and `events`: print the tables in `docs/CODES.md` and `docs/EVENTS.md`.

use serde_json::{Value, json};

use super::pretty_json;
use crate::prelude::*;

/// Returns the table of result codes, as Markdown or JSON.
pub(super) fn codes(as_json: bool) -> String {
    if as_json {
        let rows: Vec<Value> = Code::ALL.iter().map(|code| code_row(*code)).collect();
        return pretty_json(&rows);
    }
    let mut lines = vec![
        "| code | name | HTTP status | execution | retry after | exit | meaning |".to_owned(),
        "| --- | --- | --- | --- | --- | --- | --- |".to_owned(),
    ];
    for code in Code::ALL {
        let row = code.row();
        lines.push(format!(
            "| {} | {} | {} | {} | {} | {} | {} |",
            row.number,
            row.name,
            or_dash(u32::from(row.status)),
            if row.status == 0 { "-" } else { row.execution.as_str() },
            or_dash(row.retry_after_s),
            or_dash(u32::from(row.exit_code)),
            row.text
        ));
    }
    lines.join("\n")
}

fn code_row(code: Code) -> Value {
    let row = code.row();
    json!({
        "code": row.number,
        "name": row.name,
        "status": row.status,
        "execution": row.execution.as_str(),
        "retry_after_s": row.retry_after_s,
        "exit": row.exit_code,
        "text": row.text,
    })
}

/// Returns the catalogue of log events, as Markdown or JSON.
pub(super) fn events(as_json: bool) -> String {
    if as_json {
        let rows: Vec<Value> = Event::ALL
            .iter()
            .map(|event| {
                json!({
                    "event": event.number(),
                    "name": format!("{event:?}"),
                    "level": event.level().as_str(),
                    "text": event.text(),
                })
            })
            .collect();
        return pretty_json(&rows);
    }
    let mut lines = vec![
        "| event | name | level | meaning |".to_owned(),
        "| --- | --- | --- | --- |".to_owned(),
    ];
    for event in Event::ALL {
        let (number, level, text) = (event.number(), event.level(), event.text());
        lines.push(format!("| {number} | {event:?} | {level} | {text} |"));
    }
    lines.join("\n")
}

fn or_dash(number: u32) -> String {
    if number == 0 { "-".into() } else { number.to_string() }
}
